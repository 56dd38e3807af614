/*
 * The control log: elections, replication, lost disks and the repair of one member.
 *
 * Three slots (A, B, C) run members; a member is a slot and an identity. The log holds only its
 * length and the term of its last entry, which is what votes compare, plus one marker for each
 * of the entries whose loss is checked. Messages are replaced by atomic reads of another member's
 * durable state, which covers every order of delivery that the protocol's own checks allow.
 *
 * Switches, each of which must give a violation:
 *   VOTE_AFTER_DISK_LOSS  a member without its disk votes as its former self
 *   NO_SYNC_BEFORE_ACK    entries are acknowledged before they are durable
 *   SWAP_IN_ONE_ENTRY     the former identity is replaced by one configuration entry, while the
 *                         former member may still run elsewhere
 */
#define SLOTS 4         /* members 0, 1, 2 found the group; 3 replaces member 2 */
#define MAX_TERM 4
#define MAX_LOG 6       /* the first place stands for the empty log */
#define NONE 255

/* Configurations as sets of bits: {0,1,2}, {0,1} and {0,1,3}. */
#define FOUNDED 7
#define REDUCED 3
#define REPAIRED 11

typedef Log {
    byte term[MAX_LOG];     /* 0: no entry */
    byte config[MAX_LOG];   /* configuration in force from this entry on */
    byte length;
    byte synced;            /* entries that survive a crash */
}

Log log[SLOTS];
byte term[SLOTS];           /* durable */
byte votedFor[SLOTS];       /* durable, in term[] */
bool leading[SLOTS];
byte votes[SLOTS];         /* as candidate: votes received, as bits */
byte acked[SLOTS];          /* as leader: bit i set if member i acknowledged the whole log */
bool gone[SLOTS];           /* disk lost; does not take part any more */

byte leaderOf[MAX_TERM + 1];    /* leader by term, for the property */
byte committedTerm[MAX_LOG];    /* term of the committed entry by index, 0 if none */
byte committedConfig[MAX_LOG];
byte committedAt[MAX_LOG];      /* term of the leader that committed it first */
byte disksLost;
byte crashes;
bool replacementStarted;

#define BIT(i) (1 << (i))

#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define MAJORITY(c, s) (2 * COUNT((s) & (c)) > COUNT(c))

#define LAST_TERM(m) (log[m].term[log[m].length - 1])
#define CONFIG(m) (log[m].config[log[m].length - 1])

#define UP_TO_DATE(c, v) \
    (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && log[c].length >= log[v].length))

/* Records what `m` sees as committed and checks that nothing committed was replaced. */
inline commitAll(m)
{
    i = 1;
    do
    :: i < log[m].length ->
        assert(committedTerm[i] == 0 || (committedTerm[i] == log[m].term[i] &&
                                         committedConfig[i] == log[m].config[i]));
        if
        :: committedTerm[i] == 0 -> committedAt[i] = term[m]
        :: else
        fi;
        committedTerm[i] = log[m].term[i];
        committedConfig[i] = log[m].config[i];
        i++
    :: else -> break
    od;
    i = 0
}

/* A new leader must hold every entry committed in an earlier term. A candidate may also win an old
 * term late; it cannot commit anything then. */
inline checkComplete(m)
{
    i = 1;
    do
    :: i < MAX_LOG && committedTerm[i] != 0 ->
        assert(committedAt[i] >= term[m] ||
               (i < log[m].length && committedTerm[i] == log[m].term[i] &&
                committedConfig[i] == log[m].config[i]));
        i++
    :: else -> break
    od;
    i = 0
}

/* Commits the whole log if a majority acknowledged it and the last entry is of this term. */
inline tryCommit(m)
{
    if
    :: leading[m] && LAST_TERM(m) == term[m] && MAJORITY(CONFIG(m), acked[m]) -> commitAll(m)
    :: else
    fi
}

inline appendEntry(who, set)
{
    log[who].term[log[who].length] = term[who];
    log[who].config[log[who].length] = set;
    log[who].length++;
    acked[who] = 0
}

inline sync(m)
{
    log[m].synced = log[m].length
}

/* Last entry committed, so that the next configuration may be proposed. */
#define ALL_COMMITTED(m) (log[m].length > 1 && committedTerm[log[m].length - 1] == term[m] \
                          && LAST_TERM(m) == term[m])

inline stepDown(who)
{
    leading[who] = false;
    votes[who] = 0;
    acked[who] = 0
}

/* Clears what is cut off, so that equal logs are equal states. */
inline truncateLog(who, size)
{
    log[who].length = size;
    log[who].synced = size;
    i = size;
    do
    :: i < MAX_LOG ->
        log[who].term[i] = 0;
        log[who].config[i] = 0;
        i++
    :: else -> break
    od;
    i = 0
}

/* Copies the leader's log to v, as a series of appends would. */
inline copyLog(l, v)
{
    i = 0;
    do
    :: i < MAX_LOG ->
        log[v].term[i] = log[l].term[i];
        log[v].config[i] = log[l].config[i];
        i++
    :: else -> break
    od;
    i = 0;
    log[v].length = log[l].length
}

active [SLOTS] proctype member()
{
    byte me = _pid;
    byte v;             /* another member */
    byte i;

    end:
    do
    /* Election, first half: a new term and the own vote, durable at once. */
    :: atomic {
        !gone[me] && !leading[me] && term[me] < MAX_TERM && log[me].length > 1 &&
            (CONFIG(me) & BIT(me)) != 0 ->
        term[me]++;
        votedFor[me] = me;
        votes[me] = BIT(me)
       }
    /* One vote. The request names the identity, so a lost disk answers only under the fault. */
    :: atomic {
        !gone[me] && !leading[me] && votes[me] != 0 && votedFor[me] == me ->
        select(v : 0 .. 3);
        if
        :: v != me && !gone[v] && (CONFIG(me) & BIT(v)) != 0 &&
            (term[v] < term[me] || (term[v] == term[me] && votedFor[v] == me)) &&
            UP_TO_DATE(me, v) ->
            term[v] = term[me];
            votedFor[v] = me;
            stepDown(v);
            votes[me] = votes[me] | BIT(v)
        :: else
        fi;
        v = 0
       }
    /* Election, second half: the leader starts its term with an entry of its own. */
    :: atomic {
        !gone[me] && !leading[me] && votes[me] != 0 && votedFor[me] == me &&
            MAJORITY(CONFIG(me), votes[me]) && log[me].length < MAX_LOG ->
        votes[me] = 0;
        assert(leaderOf[term[me]] == NONE || leaderOf[term[me]] == me);
        leaderOf[term[me]] = me;
        checkComplete(me);
        leading[me] = true;
        appendEntry(me, CONFIG(me))
       }
    /* A leader makes its log durable and counts itself. */
    :: atomic {
        leading[me] && (acked[me] & BIT(me)) == 0 ->
#ifndef NO_SYNC_BEFORE_ACK
        sync(me);
#endif
        acked[me] = acked[me] | BIT(me);
        tryCommit(me)
       }
    /* Replication to one member, learner included. */
    :: atomic {
        leading[me] ->
        select(v : 0 .. 3);
        if
        :: v != me && !gone[v] && term[v] <= term[me] && (acked[me] & BIT(v)) == 0 &&
            (v != 3 || replacementStarted) ->
            if
            :: term[v] < term[me] -> term[v] = term[me]; votedFor[v] = NONE
            :: else
            fi;
            /* A candidate that hears the leader of its term stops counting votes. */
            stepDown(v);
            copyLog(me, v);
            if
            :: log[v].synced > log[v].length -> log[v].synced = log[v].length
            :: else
            fi;
#ifndef NO_SYNC_BEFORE_ACK
            sync(v);
#endif
            acked[me] = acked[me] | BIT(v);
            tryCommit(me)
        :: else
        fi;
        v = 0
       }
    /* A proposal. */
    :: atomic { leading[me] && log[me].length < MAX_LOG - 1 && ALL_COMMITTED(me) ->
        appendEntry(me, CONFIG(me)) }
    /* Repair: member 3 replaces member 2, which the leader takes for lost. */
#ifdef SWAP_IN_ONE_ENTRY
    :: atomic { leading[me] && me != 2 && replacementStarted && CONFIG(me) == FOUNDED &&
                ALL_COMMITTED(me) && log[me].length < MAX_LOG -> appendEntry(me, REPAIRED) }
#else
    :: atomic { leading[me] && me != 2 && replacementStarted && CONFIG(me) == FOUNDED &&
                ALL_COMMITTED(me) && log[me].length < MAX_LOG -> appendEntry(me, REDUCED) }
    :: atomic { leading[me] && CONFIG(me) == REDUCED && ALL_COMMITTED(me) &&
                log[me].length < MAX_LOG -> appendEntry(me, REPAIRED) }
#endif
    /* A crash loses what is not durable. */
    :: atomic {
        !gone[me] && crashes < 1 ->
        crashes++;
        stepDown(me);
        truncateLog(me, log[me].synced)
       }
    /* Member 2 loses its disk. The data directory that replaces it belongs to member 3. */
    :: atomic {
        me == 2 && disksLost == 0 && log[0].length > 1 ->
        disksLost++;
        replacementStarted = true;
        stepDown(me);
        truncateLog(me, 1);
        term[me] = 0;
        votedFor[me] = NONE;
#ifndef VOTE_AFTER_DISK_LOSS
        gone[me] = true
#endif
       }
    /* The same NodeId starts on another VM while member 2 still runs, cut off from the leader. */
    :: atomic { me == 2 && disksLost == 0 && !replacementStarted -> replacementStarted = true }
    od
}

init
{
    atomic {
        byte k = 0;
        do
        :: k < SLOTS ->
            votedFor[k] = NONE;
            log[k].config[0] = FOUNDED;
            log[k].length = 1;
            log[k].synced = 1;
            k++
        :: else -> break
        od;
        k = 0;
        do
        :: k <= MAX_TERM -> leaderOf[k] = NONE; k++
        :: else -> break
        od;
        /* The founding entry of member 0; member 3 does not hold it. */
        log[0].term[1] = 1;
        log[0].config[1] = FOUNDED;
        log[0].length = 2;
        log[0].synced = 2;
        term[0] = 1;
        votedFor[0] = 0
    }
}
