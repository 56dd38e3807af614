/*
 * Change of primary with the acknowledgement rule, for one group of three databases with
 * asynchronous replication.
 *
 * A log is abstracted to a length and to the entries that matter: a database holds a write if its
 * log is on the write's history and at least as long as the write's position. Histories form a
 * tree: term t branches off term parent[t] at position base[t]. `own[d]` is the last term whose
 * entries the log of d really contains, and `term[d]` is the term it reports.
 *
 * A replica adopts a reported term when it connects to a primary. It first discards a divergent
 * suffix, but its log may then end before the start of the new term.
 *
 * Property: an acknowledged write is in the history of every later promoted primary, and no two
 * databases are primary at the same term, so at most one can acknowledge at it.
 *
 * Switches that each break one rule: NO_FENCE, ACK_WITHOUT_MAJORITY, COMPARE_POSITION_ACROSS_TERMS,
 * MAJORITY_OF_ANNOUNCING, HIGHEST_TERM_WINS, PUBLISH_WITHOUT_CONFIRM, SHARED_TERM.
 */

#define N 3
#define MAJORITY 2
#ifndef TERMS
#define TERMS 4            /* terms 1 .. TERMS-1, at most 4 */
#endif
#ifndef LENGTH
#define LENGTH 2           /* longest log */
#endif
#define NONE 255
#ifdef NO_FENCE
#define FENCED(d, t) false
#else
#define FENCED(d, t) (fence[d] > (t))
#endif

/* Databases. */
byte term[N] = 1;          /* reported term */
byte own[N] = 1;           /* term of the last entry's history */
byte length[N];
byte fence[N];
bool primary[N];

/* History tree. */
byte parent[TERMS];
byte base[TERMS];

/* Control log. */
byte reserved = 1;
byte published = 1;

/* One write under observation, as a node sees it. */
bool written;
byte wterm;
byte wpos;
bool acked;
byte holder[TERMS] = NONE; /* database promoted at each term */

/* Whether the history of term t up to length l contains the observed write. */
inline history_has(t, l, result) {
    h_term = t;
    h_len = l;
    do
    :: h_term == wterm || h_term == 0 -> break
    :: else ->
        h_len = (h_len < base[h_term] -> h_len : base[h_term]);
        h_term = parent[h_term]
    od;
    result = (h_term == wterm && h_len >= wpos);
    h_term = 0;
    h_len = 0
}

/* The history of term t must contain the observed write if it is acknowledged. */
inline check_kept(t) {
    if
    :: acked && t > wterm ->
        history_has(t, NONE, h_has);
        assert(h_has);
        h_has = false
    :: else
    fi
}

/* Length of the common part of the log of d with the history of term t. */
inline common_length(d, t, result) {
    c_a = own[d]; c_la = length[d];
    c_b = t; c_lb = NONE;
    do
    :: c_a == c_b -> break
    :: c_a > c_b -> c_la = (c_la < base[c_a] -> c_la : base[c_a]); c_a = parent[c_a]
    :: c_b > c_a -> c_lb = (c_lb < base[c_b] -> c_lb : base[c_b]); c_b = parent[c_b]
    od;
    result = (c_la < c_lb -> c_la : c_lb);
    c_a = 0; c_b = 0; c_la = 0; c_lb = 0
}

bool h_has;
byte h_term, h_len, c_len, c_a, c_b, c_la, c_lb;

/* A database that believes it is primary commits a write. */
inline commit(d) {
    length[d]++;
    own[d] = term[d];
    if
    :: !written -> written = true; wterm = term[d]; wpos = length[d]
    :: true -> skip      /* a write that is not observed */
    fi
}

/* Replica d connects to primary p of a higher term; its log becomes a prefix of that of p. */
inline adopt(d, p) {
    common_length(d, term[p], c_len);
    length[d] = (c_len < length[p] -> c_len : length[p]);
    c_len = 0;
    own[d] = own[p];
    term[d] = term[p];
    primary[d] = false
}

/* Replica d takes the next entry from primary p. */
inline replicate(d, p) {
    length[d]++;
    own[d] = own[p]
}

#define MAY_COMMIT(d) (primary[d] && !FENCED(d, term[d]) && length[d] < LENGTH)
#define MAY_STREAM(d, p) (primary[p] && !FENCED(d, term[p]) && !FENCED(p, term[p]))
#define MAY_ADOPT(d, p) (MAY_STREAM(d, p) && term[d] < term[p])
#define MAY_REPLICATE(d, p) (MAY_STREAM(d, p) && !primary[d] && term[d] == term[p] && length[d] < length[p])

/* The database processes: writes and replication. A crash that keeps the log, a freeze and a cut
 * link are all the same here: the database takes no step and answers no call for a while. */
proctype Databases() {
    do
    :: d_step { MAY_ADOPT(0, 1) -> adopt(0, 1) }
    :: d_step { MAY_ADOPT(0, 2) -> adopt(0, 2) }
    :: d_step { MAY_ADOPT(1, 0) -> adopt(1, 0) }
    :: d_step { MAY_ADOPT(1, 2) -> adopt(1, 2) }
    :: d_step { MAY_ADOPT(2, 0) -> adopt(2, 0) }
    :: d_step { MAY_ADOPT(2, 1) -> adopt(2, 1) }
    :: d_step { MAY_REPLICATE(0, 1) -> replicate(0, 1) }
    :: d_step { MAY_REPLICATE(0, 2) -> replicate(0, 2) }
    :: d_step { MAY_REPLICATE(1, 0) -> replicate(1, 0) }
    :: d_step { MAY_REPLICATE(1, 2) -> replicate(1, 2) }
    :: d_step { MAY_REPLICATE(2, 0) -> replicate(2, 0) }
    :: d_step { MAY_REPLICATE(2, 1) -> replicate(2, 1) }
    :: atomic { MAY_COMMIT(0) -> commit(0) }
    :: atomic { MAY_COMMIT(1) -> commit(1) }
    :: atomic { MAY_COMMIT(2) -> commit(2) }
    :: timeout -> skip     /* every attempt has stopped */
    od
}

#define HOLDS_WRITE(d) (term[d] == wterm && length[d] >= wpos)

/* A node whose view shows the term of the write. It asks one member at a time; its view may be
 * out of date when it acknowledges. */
proctype Node() {
    byte holders;
    atomic { written && published == wterm -> holders = 1 }
#ifndef ACK_WITHOUT_MAJORITY
    if
    :: atomic { holder[wterm] != 0 && HOLDS_WRITE(0) -> holders++ }
    :: atomic { holder[wterm] != 1 && HOLDS_WRITE(1) -> holders++ }
    :: atomic { holder[wterm] != 2 && HOLDS_WRITE(2) -> holders++ }
    fi;
#endif
    atomic {
        holders = 0;
        acked = true;
        check_kept(published)
    }
}

inline do_fence(d) {
    fence[d] = t;
    fenced[d] = true;
    f_term[d] = term[d];
    f_len[d] = length[d];
    answers++
}

#ifdef COMPARE_POSITION_ACROSS_TERMS
#define BETTER(d) (f_len[d] > f_len[best])
#define ELIGIBLE(d) true
#else
#ifdef HIGHEST_TERM_WINS
#define BETTER(d) (f_term[d] > f_term[best] || (f_term[d] == f_term[best] && f_len[d] > f_len[best]))
#define ELIGIBLE(d) true
#else
#define BETTER(d) (f_len[d] > f_len[best] || (f_len[d] == f_len[best] && f_term[d] > f_term[best]))
#define ELIGIBLE(d) (f_term[d] >= published)
#endif
#endif

#ifdef MAJORITY_OF_ANNOUNCING
#define ENOUGH 1           /* the databases that announce themselves may be a single one */
#else
#define ENOUGH MAJORITY
#endif

#define FOLLOWS(d) (term[d] == t && length[d] >= base[t])

/* One attempt of a controller at term t. Attempts at different terms run at the same time, as
 * those of a controller that was replaced without knowing it do, or one after the other, as those
 * of one controller do. An attempt may stop at any point. */
proctype Attempt(byte t) {
    byte d, best, answers;
    byte f_term[N], f_len[N];
    bool fenced[N];
#ifdef SHARED_TERM
    atomic { reserved == t - 1 || reserved == t -> reserved = t };
#else
    atomic { reserved == t - 1 -> reserved = t };
#endif
    do
    :: d_step { !fenced[0] && fence[0] <= t -> do_fence(0) }
    :: d_step { !fenced[1] && fence[1] <= t -> do_fence(1) }
    :: d_step { !fenced[2] && fence[2] <= t -> do_fence(2) }
    :: answers >= ENOUGH -> break
    od;
    skip;                  /* a d_step cannot be the target of a break */
    d_step {
        best = NONE;
        d = 0;
        do
        :: d < N ->
            if
            :: fenced[d] && ELIGIBLE(d) ->
                if
                :: best == NONE -> best = d
                :: else ->
                    if
                    :: BETTER(d) -> best = d
                    :: else
                    fi
                fi
            :: else
            fi;
            d++
        :: else -> break
        od;
        d = 0;
        do
        :: d < N -> f_term[d] = 0; f_len[d] = 0; fenced[d] = false; d++
        :: else -> break
        od;
        d = 0;
        answers = 0
    }
    best != NONE;
    /* Promotion: refused if fenced at a higher term. */
    d_step {
        fence[best] <= t && term[best] < t ->
        assert(holder[t] == NONE);
        holder[t] = best;
        parent[t] = own[best];
        base[t] = length[best];
        check_kept(t);
        term[best] = t;
        own[best] = t;
        primary[best] = true
    }
    /* Confirmation by a second member that follows the term from its start. */
#ifndef PUBLISH_WITHOUT_CONFIRM
    if
    :: best != 0 && FOLLOWS(0)
    :: best != 1 && FOLLOWS(1)
    :: best != 2 && FOLLOWS(2)
    fi;
#endif
    /* The control log accepts SetPrimary only at the reserved term. */
    d_step {
        reserved == t ->
        published = t;
        best = 0;
        check_kept(t)
    }
}

init {
    atomic {
        primary[0] = true;
        holder[1] = 0;
        run Databases();
        run Node();
        run Attempt(2);
#ifdef SHARED_TERM
        run Attempt(2);
#endif
        run Attempt(3);
#if TERMS > 4
        run Attempt(4);
#endif
        skip
    }
}
