/* Change of primary in a group whose databases confirm commits themselves: a primary (0) and two
 * replicas (1, 2), of which one has to confirm each commit. Replicas lag at will, each database may
 * start again once with an empty log, the primary may be down for a while, and the controller may
 * lose its memory. Members are recorded by id and incarnation (docs/group-members.md).
 *
 * Broken variants:
 *   UNHEARD_IS_ABSENT        a member that is not heard of is not counted
 *   REBORN_HOLDS             a replica that started again counts for its predecessor
 *   LEAVE_AT_ONCE            an ended member leaves before others hold its commits
 *   REBORN_PRIMARY_IN_OFFICE the log of a primary that started again counts as the primary's
 *   SKIP_UNUSABLE            the log of a replica that is suspected or leaving is not looked at
 */
#ifndef LENGTH
#define LENGTH 2
#endif
#define MEMBERS 3

byte length[MEMBERS];
/* The process has started again. */
bool reborn[MEMBERS];
bool fenced[MEMBERS];
/* The controller has heard of the running process. */
bool heard[MEMBERS];
/* The first process has ended and is still recorded. */
bool ended[MEMBERS];
bool barrierKnown[MEMBERS];
byte barrier[MEMBERS];
bool up = true;
bool leads = true;
bool changing;
bool promoted;
byte candidate;
byte acknowledged;

/* The candidate holds what was acknowledged, and what a primary that still leads may acknowledge. */
inline promote(member)
{
    candidate = member;
    promoted = true;
    assert(length[candidate] >= acknowledged);
    assert(!leads || !up || (length[1] != length[0] && length[2] != length[0])
           || length[candidate] >= length[0]);
}

/* Whether replica i may accept commits, or took commits that it confirmed with it. */
#ifdef UNHEARD_IS_ABSENT
#define UNFENCED(i) ((heard[i] && !fenced[i]) || (heard[i] && ended[i]))
#else
#ifdef REBORN_HOLDS
#define UNFENCED(i) (!heard[i] || !fenced[i])
#else
#define UNFENCED(i) (!heard[i] || !fenced[i] || ended[i])
#endif
#endif

/* One replica may be suspected or leaving. It is promoted like any other. */
#ifdef SKIP_UNUSABLE
byte unusable;
#define USABLE(i) (unusable != i)
#else
#define USABLE(i) true
#endif

#define LONGEST(i, j) (!heard[j] || !fenced[j] || !USABLE(j) || length[i] >= length[j])

/* Whether the primary's log is known to be the whole one, and to end. */
#ifdef REBORN_PRIMARY_IN_OFFICE
#define PRIMARY_LOG (heard[0] && up && !leads)
#else
#define PRIMARY_LOG (heard[0] && up && !leads && (!reborn[0] || \
    (length[0] > 0 && (!heard[1] || length[0] >= length[1]) && (!heard[2] || length[0] >= length[2]))))
#endif

active proctype group()
{
    byte i;
#ifdef SKIP_UNUSABLE
    select(unusable : 0 .. 2);
#endif
    do
    :: promoted -> break
    /* The primary. */
    :: atomic { up && leads && length[0] < LENGTH -> length[0]++ }
    :: atomic { (up && leads && length[0] > acknowledged
                && (length[1] == length[0] || length[2] == length[0])) ->
                acknowledged = length[0] }
    :: atomic { up -> up = false; heard[0] = false }
    :: atomic { !up -> up = true }
    :: atomic { !reborn[0] -> reborn[0] = true; length[0] = 0; leads = false; heard[0] = false }
    /* Replicas, databases that announce themselves and members that leave. */
    :: select(i : 1 .. 2);
       if
       :: atomic { up && leads && !fenced[i] -> length[i] = length[0] }
       :: atomic { !reborn[i] -> reborn[i] = true; ended[i] = true; length[i] = 0;
                   fenced[i] = false; heard[i] = false; barrierKnown[i] = false }
       :: atomic { heard[i] = true }
       :: atomic { changing && heard[i] -> fenced[i] = true }
#ifdef LEAVE_AT_ONCE
       :: atomic { ended[i] && heard[i] && !changing -> ended[i] = false }
#else
       :: atomic { ended[i] && heard[i] && !changing && heard[0] && up && leads ->
                   barrierKnown[i] = true; barrier[i] = length[0] }
       :: atomic { (ended[i] && barrierKnown[i] && !changing
                   && ((heard[1] && !(i != 1 && ended[1]) && length[1] >= barrier[i])
                       || (heard[2] && !(i != 2 && ended[2]) && length[2] >= barrier[i]))) ->
                   ended[i] = false }
#endif
       :: else -> skip
       fi
    :: atomic { up -> heard[0] = true }
    /* The controller. */
    :: atomic { heard[0] = false; heard[1] = false; heard[2] = false;
                barrierKnown[1] = false; barrierKnown[2] = false }
    :: atomic { !changing -> changing = true }
    :: atomic { changing && heard[0] && up -> leads = false }
    :: atomic { (changing && !promoted && heard[1] && fenced[1] && USABLE(1) && LONGEST(1, 2)
                && ((!UNFENCED(1) && !UNFENCED(2)) || (PRIMARY_LOG && length[1] >= length[0]))) ->
                promote(1) }
    :: atomic { (changing && !promoted && heard[2] && fenced[2] && USABLE(2) && LONGEST(2, 1)
                && ((!UNFENCED(1) && !UNFENCED(2)) || (PRIMARY_LOG && length[2] >= length[0]))) ->
                promote(2) }
    :: atomic { (changing && !promoted && heard[0] && up && !leads
                && LONGEST(0, 1) && LONGEST(0, 2)
                && ((!UNFENCED(1) && !UNFENCED(2)) || PRIMARY_LOG)) ->
                promote(0) }
    od
}
