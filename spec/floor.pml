/* Floor: the quorum of keepers, and a node that stores nothing on disk.
 *
 * The floor is the lowest configuration version that a node may serve. A keeper
 * is a node that is a voting member of its failure domain's quorum; an epoch
 * numbers the keeper sets of a domain. The model has one failure domain and one
 * of its nodes. A sent message is never removed: it may be delivered at any
 * later time, repeatedly, in any order or not at all. The sources are modelled
 * as one accepted version that only grows; agreement.pml and staging.pml show
 * why that holds.
 *
 * Names in brackets are the code that a macro or transition models.
 */

#ifndef VERSIONS
#define VERSIONS 1
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define NONE 0

/* Keepers of epoch 1 are 0, 1, 2; in epoch 2 keeper 3 replaces keeper 2. */
#define SET1 7
#define SET2 11
#define MEMBERS(e) ((e) == 1 -> SET1 : SET2)
#define BIT(k) (1 << (k))
#define HAS(mask, k) (((mask) >> (k)) & 1)
#define COUNT(m) (HAS(m, 0) + HAS(m, 1) + HAS(m, 2) + HAS(m, 3))
#define IS_MAJORITY(m) (COUNT(m) >= 2)

#define FOR_KEEPERS(X) X(0) X(1) X(2) X(3)
#if VERSIONS == 1
#define FOR_VERSIONS(X) X(1)
#define FOR_KEEPER_VERSIONS(X, k) X(k, 1)
#define HOLDERS(ack, v) ack[v]
#else
#define FOR_VERSIONS(X) X(1) X(2)
#define FOR_KEEPER_VERSIONS(X, k) X(k, 1) X(k, 2)
#define HOLDERS(ack, v) (ack[v] | ack[VERSIONS])
#endif

/* The newest version that the sources have accepted; staging.pml shows that an
 * accepted version is never reverted. */
byte accepted;
byte epoch = 1;
byte accepted_before;  /* `accepted` when epoch 2 was assigned */

/* Messages. */
byte ack1[VERSIONS + 1];  /* by version: keepers that reported it in epoch 1 */
byte ack2[VERSIONS + 1];  /* the same in epoch 2 */
byte fenced;              /* members of SET1 that reported epoch 2 */
byte established;         /* bit v: a majority reported version v */

/* The keepers' state in memory. */
byte held[4];            /* highest version held as active */
byte received_epoch[4];  /* newest epoch received */
byte recovered[4];       /* epoch in which the floor was recovered */
byte restarts;

/* A node that has restarted and reads its floor. `max_served` is the newest
 * version that it can have served before; the versions that it serves
 * afterwards are not below the floor that it reads. */
bool reading;
byte max_served;
byte floor_epoch;
byte floor_replies;
byte floor_value;

/* A majority of the first set has reported epoch 2 [core/keeper.is_fenced]. */
#ifdef M_NO_FENCE
#define IS_FENCED true
#else
#define IS_FENCED IS_MAJORITY(fenced & SET1)
#endif

/* [core/keeper.is_recovered, core/floor.is_counted] */
#define IS_COUNTED(k, e) (received_epoch[k] == e && recovered[k] == e && HAS(MEMBERS(e), k))

#ifdef M_ONE_KEEPER_ESTABLISHES
#define IS_ENOUGH(m) ((m) != 0)
#else
#define IS_ENOUGH(m) IS_MAJORITY(m)
#endif

/* Every keeper that counts reports the version that it holds, and a version
 * that a majority reported is established. The reports stay when a keeper
 * restarts. Reporting in the same step excludes no behaviour, since a message
 * may be delivered late [core/keeper.record_reply, establish]. */
#define REPORT_HELD(k) \
    if \
    :: held[k] != NONE && IS_COUNTED(k, 1) -> ack1[held[k]] = ack1[held[k]] | BIT(k) \
    :: held[k] != NONE && IS_COUNTED(k, 2) -> ack2[held[k]] = ack2[held[k]] | BIT(k) \
    :: else \
    fi;
#define ESTABLISH(v) \
    if \
    :: ack1[v] != 0 && IS_ENOUGH(HOLDERS(ack1, v)) -> established = established | BIT(v) \
    :: ack2[v] != 0 && IS_ENOUGH(HOLDERS(ack2, v)) && IS_FENCED -> established = established | BIT(v) \
    :: else \
    fi;
#define REPORT_ALL REPORT_HELD(0) REPORT_HELD(1) REPORT_HELD(2) REPORT_HELD(3) FOR_VERSIONS(ESTABLISH)

/* A keeper receives an epoch; it does not count until it has recovered in that
 * epoch [core/keeper.adopt_set]. A restarted keeper may receive the old epoch
 * again. */
#define RECEIVE_EPOCH(k) \
    :: d_step { epoch == 2 && received_epoch[k] < 2 -> \
        received_epoch[k] = 2; \
        fenced = fenced | (BIT(k) & SET1); \
        REPORT_ALL } \
    :: d_step { received_epoch[k] < 1 -> received_epoch[k] = 1 }

/* A keeper receives an accepted version from the sources or from another
 * keeper, perhaps late. The message contains the epoch that was current when it
 * was sent, so that a version accepted in a later epoch is never held by a
 * keeper in an older one [node/keeper.activate, core/keeper.hold_version]. */
#ifdef M_EPOCH_NOT_TOLD
#define IS_OF_EPOCH(k, v) true
#else
#define IS_OF_EPOCH(k, v) (epoch == 1 || received_epoch[k] == 2 || v <= accepted_before)
#endif
#define RECEIVE_ACTIVATED(k, v) \
    :: d_step { v <= accepted && received_epoch[k] != 0 && held[k] < v && IS_OF_EPOCH(k, v) -> \
        held[k] = v; \
        REPORT_ALL }

/* A keeper restarts without its state. */
#ifdef M_BLANK_KEEPER_COUNTS
#define RESTART_KEEPER(k) \
    :: d_step { held[k] != NONE -> held[k] = NONE }
#else
#define RESTART_KEEPER(k) \
    :: d_step { received_epoch[k] != 0 && restarts < RESTARTS -> \
        restarts = restarts + 1; \
        held[k] = NONE; \
        received_epoch[k] = 0; \
        recovered[k] = 0 }
#endif

/* A keeper reads version and epoch from the leader of the sources, which first
 * confirms with a quorum that it still leads
 * [core/keeper.recover_from_source, source/ledger.read_barrier]. */
#define READ_SOURCE(k) \
    :: d_step { HAS(MEMBERS(epoch), k) && recovered[k] != epoch -> \
        held[k] = accepted; \
        received_epoch[k] = epoch; \
        recovered[k] = epoch; \
        if \
        :: epoch == 2 -> fenced = fenced | (BIT(k) & SET1) \
        :: else \
        fi; \
        REPORT_ALL }
#ifdef M_STALE_LEADER_ANSWERS
#define READ_STALE(k) \
    :: d_step { epoch == 1 && k != 3 && recovered[k] != 1 && accepted != NONE -> \
        held[k] = accepted - 1; \
        received_epoch[k] = 1; \
        recovered[k] = 1; \
        REPORT_ALL }
#else
#define READ_STALE(k)
#endif

/* A fault that the protocol excludes: a keeper recovers from two other members
 * of its set, although its reports from before the restart may still count. */
#ifdef M_PEERS_RESTORE_KEEPER
#define MAX_HELD(i, j) (held[i] > held[j] -> held[i] : held[j])
#define READ_PEERS(k, i, j, e) \
    :: d_step { received_epoch[k] == e && recovered[k] != e && IS_COUNTED(i, e) && IS_COUNTED(j, e) -> \
        held[k] = (MAX_HELD(i, j) > held[k] -> MAX_HELD(i, j) : held[k]); \
        recovered[k] = e; \
        REPORT_ALL }
#else
#define READ_PEERS(k, i, j, e)
#endif

/* The node receives a keeper's reply; a reply with a later epoch makes it start
 * again with that keeper set [core/floor.read_floor]. */
#ifdef M_ONE_KEEPER_TELLS_FLOOR
#define FLOOR_IS_PROVED true
#else
#define FLOOR_IS_PROVED IS_MAJORITY(floor_replies & MEMBERS(floor_epoch))
#endif
#ifdef M_FLOOR_IS_SERVED
#define SERVE_FLOOR established = established | BIT(floor_value);
#else
#define SERVE_FLOOR
#endif
#define APPLY_FLOOR \
    assert(floor_value >= max_served);  /* a node's version never decreases */ \
    assert(floor_value <= accepted);    /* the floor was accepted */ \
    SERVE_FLOOR \
    floor_value = NONE
#define RECEIVE_FLOOR_REPLY(k, e) \
    :: d_step { reading && e >= floor_epoch && received_epoch[k] == e && (e > floor_epoch || (IS_COUNTED(k, e) && (!HAS(floor_replies, k) || held[k] > floor_value))) -> \
        if \
        :: e > floor_epoch -> \
            floor_epoch = e; \
            floor_replies = 0; \
            floor_value = NONE \
        :: else \
        fi; \
        if \
        :: IS_COUNTED(k, e) -> \
            floor_replies = floor_replies | BIT(k); \
            floor_value = (held[k] > floor_value -> held[k] : floor_value) \
        :: else \
        fi; \
        if \
        :: FLOOR_IS_PROVED -> \
            APPLY_FLOOR; \
            reading = false; \
            max_served = NONE; \
            floor_epoch = 0; \
            floor_replies = 0 \
        :: else \
        fi }

/* The node serves an established version that it receives unless the version is
 * below its floor [node/configuration.establish]. With the fault it does not
 * wait for its floor. */
#ifdef M_FLOOR_IGNORED
#define RECEIVE_ESTABLISHED(v) \
    :: d_step { reading && HAS(established, v) -> assert(v >= max_served) }
#else
#define RECEIVE_ESTABLISHED(v)
#endif

active proctype system() {
    d_step {
        received_epoch[0] = 1;
        received_epoch[1] = 1;
        received_epoch[2] = 1;
        recovered[0] = 1;
        recovered[1] = 1;
        recovered[2] = 1
    }
    do
    /* The sources accept a version [source/transition._activate]. */
    :: accepted < VERSIONS -> accepted = accepted + 1

    /* The sources replace a keeper [source/transition._assign_keepers]. */
    :: d_step { epoch == 1 ->
        accepted_before = accepted;
        epoch = 2 }

    FOR_KEEPERS(RECEIVE_EPOCH)
    FOR_KEEPER_VERSIONS(RECEIVE_ACTIVATED, 0)
    FOR_KEEPER_VERSIONS(RECEIVE_ACTIVATED, 1)
    FOR_KEEPER_VERSIONS(RECEIVE_ACTIVATED, 2)
    FOR_KEEPER_VERSIONS(RECEIVE_ACTIVATED, 3)
    FOR_KEEPERS(RESTART_KEEPER)
    FOR_KEEPERS(READ_SOURCE)
    FOR_KEEPERS(READ_STALE)
    READ_PEERS(0, 1, 2, 1)
    READ_PEERS(1, 0, 2, 1)
    READ_PEERS(2, 0, 1, 1)
    READ_PEERS(0, 1, 3, 2)
    READ_PEERS(1, 0, 3, 2)
    READ_PEERS(3, 0, 1, 2)

    /* The node restarts; it may have served any established version. */
    :: d_step { !reading ->
        reading = true;
        max_served = (HAS(established, VERSIONS) -> VERSIONS : (HAS(established, 1) -> 1 : NONE)) }
    RECEIVE_FLOOR_REPLY(0, 1) RECEIVE_FLOOR_REPLY(1, 1) RECEIVE_FLOOR_REPLY(2, 1)
    RECEIVE_FLOOR_REPLY(0, 2) RECEIVE_FLOOR_REPLY(1, 2) RECEIVE_FLOOR_REPLY(2, 2) RECEIVE_FLOOR_REPLY(3, 2)
    FOR_VERSIONS(RECEIVE_ESTABLISHED)
    od
}
