/* Agreement: terms, votes, the log and admissions of three sources.
 *
 * A source is a control-plane replica. A sent message is never removed: it may
 * be delivered at any later time, repeatedly, in any order or not at all.
 * Replica 0 may lose its data folder once; with the new folder it is a learner
 * until a leader admits it. A log is a sequence of terms; an admission is an
 * entry with ADMIT added to its term. The number of terms and the length of the
 * log are bounded. ELECTIONS_ONLY omits proposals, admissions and restarts, so
 * that more terms can be searched. Not modelled: the pre-vote, timeouts and
 * leases, which decide when a transition happens but not which are possible;
 * snapshots; the bootstrap of a new group.
 *
 * Names in brackets are the functions of medlarhoist/consensus that a macro or
 * transition models.
 */

#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 2
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define ADMIT 8
#define TERM_OF(e) ((e) & 7)
#define IS_ADMIT(e) ((e) >= ADMIT)
#define HAS(mask, i) (((mask) >> (i)) & 1)
#define COUNT(m) (HAS(m, 0) + HAS(m, 1) + HAS(m, 2))
#define IS_MAJORITY(m) (COUNT(m) >= 2)
#define ENTRY(r, i) log[(r) * LENGTH + (i)]
#define SENT(t, i) sent[(t) * LENGTH + (i)]
#define HELD(t, i) held[(t) * LENGTH + (i)]
#define LAST_TERM(r) (log_size[r] == 0 -> 0 : TERM_OF(ENTRY(r, log_size[r] - 1)))

/* Stored on disk. Replica 0 uses data folder 0, later data folder 1. */
byte term[3];
byte vote[3];   /* candidate + 1 */
byte log[3 * LENGTH];
byte log_size[3];
byte folder;

/* In memory. The masks have bit r for replica r. */
byte commit[3];
byte candidates;
byte leaders;

/* Messages, by term. In masks bit 3 is replica 0 with data folder 1. The
 * requests and grants are indexed by term and candidate. */
byte request_log_size[(TERMS + 1) * 3];
byte request_last_term[(TERMS + 1) * 3];
byte granted[(TERMS + 1) * 3];
byte leader_of_term[TERMS + 1];   /* leader + 1 */
byte sent[(TERMS + 1) * LENGTH];  /* the log that the leader sends */
byte sent_size[TERMS + 1];
byte sent_commit[TERMS + 1];
byte held[(TERMS + 1) * LENGTH];  /* mask of acknowledgements */

/* The entries committed by any leader. */
byte committed[LENGTH];
byte committed_term[LENGTH];  /* term of the leader that committed it first */

byte i;
byte m;

/* Whether the log of r holds an admission in a range of indexes. An admission
 * is pending until it is committed [replica.pending_admission, with_commit]. */
#if LENGTH == 2
#define HAS_ADMISSION(r, from, to) (((from) <= 0 && (to) > 0 && IS_ADMIT(ENTRY(r, 0))) || ((from) <= 1 && (to) > 1 && IS_ADMIT(ENTRY(r, 1))))
#else
#define HAS_ADMISSION(r, from, to) (((from) <= 0 && (to) > 0 && IS_ADMIT(ENTRY(r, 0))) || ((from) <= 1 && (to) > 1 && IS_ADMIT(ENTRY(r, 1))) || ((from) <= 2 && (to) > 2 && IS_ADMIT(ENTRY(r, 2))))
#endif
#ifdef M_ADMISSION_COUNTS_AT_ONCE
#define PENDING(r) false
#define ADMITTED(r) HAS_ADMISSION(r, 0, log_size[r])
#else
#define PENDING(r) HAS_ADMISSION(r, commit[r], log_size[r])
#define ADMITTED(r) HAS_ADMISSION(r, 0, commit[r])
#endif

/* The replicas of a mask that replica r counts towards a majority
 * [replica.is_counted, is_voter]. */
#ifdef M_LOST_FOLDER_COUNTS
#define COUNTED(r, mask) (((mask) & 7) | HAS(mask, 3))
#define IS_VOTER(r) true
#else
#define COUNTED(r, mask) (((mask) & 6) | (PENDING(r) -> 0 : (ADMITTED(r) -> HAS(mask, 3) : HAS(mask, 0))))
#define IS_VOTER(r) (r != 0 || (!PENDING(0) && (ADMITTED(0) -> folder == 1 : folder == 0)))
#endif
#define BIT(r) ((r == 0 && folder == 1) -> 8 : (1 << r))

#ifdef M_VOTES_TWICE
#define MAY_VOTE(v, c, t) true
#else
#define MAY_VOTE(v, c, t) (t > term[v] || vote[v] == 0 || vote[v] == c + 1)
#endif
#ifdef M_LOG_UNCHECKED
#define IS_UP_TO_DATE(v, c, t) true
#else
#define IS_UP_TO_DATE(v, c, t) (request_last_term[t * 3 + c] > LAST_TERM(v) || (request_last_term[t * 3 + c] == LAST_TERM(v) && request_log_size[t * 3 + c] >= log_size[v]))
#endif

/* [election.tick_follower, _count_votes] */
#define START_ELECTION(r) \
    :: d_step { IS_VOTER(r) && !HAS(leaders, r) && term[r] < TERMS -> \
        term[r] = term[r] + 1; \
        vote[r] = r + 1; \
        candidates = candidates | (1 << r); \
        request_log_size[term[r] * 3 + r] = log_size[r]; \
        request_last_term[term[r] * 3 + r] = LAST_TERM(r); \
        granted[term[r] * 3 + r] = BIT(r) }

/* [election.receive_vote_request] */
#define GRANT_VOTE(v, c, t) \
    :: d_step { v != c && granted[t * 3 + c] != 0 && !(granted[t * 3 + c] & BIT(v)) && IS_VOTER(v) && t >= term[v] && MAY_VOTE(v, c, t) && IS_UP_TO_DATE(v, c, t) -> \
        if \
        :: t > term[v] -> \
            candidates = candidates & ~(1 << v); \
            leaders = leaders & ~(1 << v) \
        :: else \
        fi; \
        term[v] = t; \
        vote[v] = c + 1; \
        granted[t * 3 + c] = granted[t * 3 + c] | BIT(v) }

/* Set the log that the leader of the term sends from now on. */
#define RECORD_SENT_LOG(r) \
    i = 0; \
    do \
    :: i < log_size[r] -> SENT(term[r], i) = ENTRY(r, i); i = i + 1 \
    :: else -> break \
    od; \
    sent_size[term[r]] = log_size[r]; \
    i = 0

/* [election._become_leader] */
#define BECOME_LEADER(r) \
    :: d_step { HAS(candidates, r) && log_size[r] < LENGTH && IS_MAJORITY(COUNTED(r, granted[term[r] * 3 + r])) -> \
        assert(leader_of_term[term[r]] == 0);  /* election safety */ \
        i = 0; \
        do \
        :: i < LENGTH && committed[i] != 0 -> \
            assert(committed_term[i] >= term[r] || (i < log_size[r] && ENTRY(r, i) == committed[i]));  /* leader completeness */ \
            i = i + 1 \
        :: else -> break \
        od; \
        leader_of_term[term[r]] = r + 1; \
        candidates = candidates & ~(1 << r); \
        leaders = leaders | (1 << r); \
        ENTRY(r, log_size[r]) = term[r]; \
        log_size[r] = log_size[r] + 1; \
        RECORD_SENT_LOG(r) }

/* [replication.append_commands] */
#define PROPOSE(r) \
    :: d_step { HAS(leaders, r) && log_size[r] < LENGTH -> \
        ENTRY(r, log_size[r]) = term[r]; \
        log_size[r] = log_size[r] + 1; \
        RECORD_SENT_LOG(r) }

/* [replication._append_admission] */
#define IS_CAUGHT_UP(r) (HAS(HELD(term[r], log_size[r] - 1), 3) && commit[r] > 0 && TERM_OF(ENTRY(r, commit[r] - 1)) == term[r])
#define ADMIT_FOLDER(r) \
    :: d_step { HAS(leaders, r) && folder == 1 && log_size[r] < LENGTH && !HAS_ADMISSION(r, 0, log_size[r]) && IS_CAUGHT_UP(r) -> \
        ENTRY(r, log_size[r]) = term[r] + ADMIT; \
        log_size[r] = log_size[r] + 1; \
        RECORD_SENT_LOG(r) }

/* [follower.receive_append, log.replace_suffix] */
#define RECEIVE_APPEND(f, t, n) \
    :: d_step { leader_of_term[t] != 0 && leader_of_term[t] != f + 1 && n <= sent_size[t] && t >= term[f] && (t > term[f] || HAS(candidates, f) || !(HELD(t, n - 1) & BIT(f)) || commit[f] < n) -> \
        if \
        :: t > term[f] -> vote[f] = 0 \
        :: else \
        fi; \
        term[f] = t; \
        candidates = candidates & ~(1 << f); \
        leaders = leaders & ~(1 << f); \
        i = 0; \
        do \
        :: i < n -> \
            if \
            :: i >= log_size[f] || ENTRY(f, i) != SENT(t, i) -> \
                m = i; \
                do \
                :: m < LENGTH -> ENTRY(f, m) = 0; m = m + 1 \
                :: else -> break \
                od; \
                ENTRY(f, i) = SENT(t, i); \
                log_size[f] = i + 1 \
            :: else \
            fi; \
            HELD(t, i) = HELD(t, i) | BIT(f); \
            i = i + 1 \
        :: else -> break \
        od; \
        m = (sent_commit[t] < n -> sent_commit[t] : n); \
        commit[f] = (m > commit[f] -> m : commit[f]); \
        i = 0; \
        m = 0 }

/* [replication.advance_commit, quorum.held_by_quorum] */
#ifdef M_OLD_TERM_COMMITS
#define IS_OF_TERM(r, n) true
#else
#define IS_OF_TERM(r, n) (TERM_OF(ENTRY(r, n - 1)) == term[r])
#endif
#define COMMIT(r, n) \
    :: d_step { HAS(leaders, r) && n <= log_size[r] && n > commit[r] && IS_OF_TERM(r, n) && IS_MAJORITY(COUNTED(r, HELD(term[r], n - 1)) | (1 << r)) -> \
        i = 0; \
        do \
        :: i < n -> \
            assert(committed[i] == 0 || committed[i] == ENTRY(r, i));  /* one entry per index */ \
            committed_term[i] = (committed[i] == 0 -> term[r] : committed_term[i]); \
            committed[i] = ENTRY(r, i); \
            i = i + 1 \
        :: else -> break \
        od; \
        commit[r] = n; \
        sent_commit[term[r]] = n; \
        i = 0 }

/* A replica restarts. The commit index is read back only if an admission is
 * committed; otherwise it starts at zero
 * [step._write_for, replica.create_replica]. */
#define STORED_COMMIT(r) (ADMITTED(r) -> commit[r] : 0)
#ifdef M_VOTE_FORGOTTEN
#define RESET_VOTE(r) vote[r] = 0;
#define LOSES_STATE(r) (vote[r] != 0)
#else
#define RESET_VOTE(r)
#define LOSES_STATE(r) (HAS(leaders | candidates, r) || commit[r] != STORED_COMMIT(r))
#endif
#define RESTART(r) \
    :: d_step { LOSES_STATE(r) -> \
        RESET_VOTE(r) \
        commit[r] = STORED_COMMIT(r); \
        candidates = candidates & ~(1 << r); \
        leaders = leaders & ~(1 << r) }

#define RECEIVE_APPEND_ALL(t, n) RECEIVE_APPEND(0, t, n) RECEIVE_APPEND(1, t, n) RECEIVE_APPEND(2, t, n)
#define GRANT_VOTE_ALL(t) GRANT_VOTE(0, 1, t) GRANT_VOTE(0, 2, t) GRANT_VOTE(1, 0, t) GRANT_VOTE(1, 2, t) GRANT_VOTE(2, 0, t) GRANT_VOTE(2, 1, t)
#define COMMIT_ALL(n) COMMIT(0, n) COMMIT(1, n) COMMIT(2, n)

active proctype system() {
    do
    START_ELECTION(0) START_ELECTION(1) START_ELECTION(2)
    GRANT_VOTE_ALL(1) GRANT_VOTE_ALL(2)
    RECEIVE_APPEND_ALL(1, 1) RECEIVE_APPEND_ALL(1, 2) RECEIVE_APPEND_ALL(2, 1) RECEIVE_APPEND_ALL(2, 2)
#if TERMS >= 3
    GRANT_VOTE_ALL(3)
    RECEIVE_APPEND_ALL(3, 1) RECEIVE_APPEND_ALL(3, 2)
#endif
#if TERMS >= 4
    GRANT_VOTE_ALL(4)
    RECEIVE_APPEND_ALL(4, 1) RECEIVE_APPEND_ALL(4, 2)
#endif
    COMMIT_ALL(1) COMMIT_ALL(2)
#if LENGTH >= 3
    RECEIVE_APPEND_ALL(1, 3) RECEIVE_APPEND_ALL(2, 3)
    COMMIT_ALL(3)
#if TERMS >= 3
    RECEIVE_APPEND_ALL(3, 3)
#endif
#if TERMS >= 4
    RECEIVE_APPEND_ALL(4, 3)
#endif
#endif
    BECOME_LEADER(0) BECOME_LEADER(1) BECOME_LEADER(2)
#ifndef ELECTIONS_ONLY
    PROPOSE(0) PROPOSE(1) PROPOSE(2)
    ADMIT_FOLDER(1) ADMIT_FOLDER(2)
    RESTART(0) RESTART(1) RESTART(2)
#endif

    /* Replica 0 loses its data folder [bootstrap, log_file]. */
    :: d_step { folder < LOSSES ->
        folder = 1;
        term[0] = 0;
        vote[0] = 0;
        i = 0;
        do
        :: i < LENGTH -> ENTRY(0, i) = 0; i = i + 1
        :: else -> break
        od;
        i = 0;
        log_size[0] = 0;
        commit[0] = 0;
        candidates = candidates & ~1;
        leaders = leaders & ~1 }
    od
}
