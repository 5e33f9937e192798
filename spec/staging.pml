/* Staging: how the sources stage, activate or abandon a version.
 *
 * A staged version is distributed for compilation but not yet served. A deposed
 * leader may continue to act for a while; what it proposes may be committed
 * late, repeatedly or not at all. A sent message is never removed. The node is
 * modelled only as far as it compiles or refuses a version and serves the
 * versions announced to it.
 *
 * Names in brackets are the code that a transition models.
 */

#ifndef VERSIONS
#define VERSIONS 3
#endif
#define NONE 0
#define BIT(v) (1 << (v))
#define HAS(mask, v) (((mask) >> (v)) & 1)

/* The sources' committed state. */
byte last_staged;  /* highest version ever staged */
byte staged;       /* the version staged now */
byte accepted;     /* highest version activated */
byte abandoned;    /* bit v: version v was abandoned */
byte announced;    /* bit v: nodes were sent the activation of version v */

/* Messages, bit v for version v. */
byte compiled;
byte refused;
byte activate_proposed;
byte abandon_proposed;

/* The node. */
byte in_force;

active proctype system() {
    byte v;
    do
    /* A version is staged [source/transition, commands Apply and StepMove]. */
    :: d_step { staged == NONE && last_staged < VERSIONS ->
        last_staged = last_staged + 1;
        staged = last_staged }

    /* The node compiles the version or refuses it, perhaps late
     * [node/uplink_receiver.acks]. */
    :: d_step { last_staged > NONE ->
        v = last_staged;
        if
        :: !HAS(compiled | refused, v) -> compiled = compiled | BIT(v)
        :: else
        fi }
    :: d_step { last_staged > NONE ->
        v = last_staged;
        if
        :: !HAS(compiled | refused, v) -> refused = refused | BIT(v)
        :: else
        fi }

    /* A leader, perhaps a deposed one, proposes to activate or abandon the
     * version; it does not wait for an unreachable domain
     * [source/distributor_plan]. */
    :: d_step { staged != NONE && !HAS(refused, staged) ->
        activate_proposed = activate_proposed | BIT(staged);
#ifdef M_TOLD_BEFORE_COMMIT
        announced = announced | BIT(staged)
#endif
    }
    :: d_step { staged != NONE -> abandon_proposed = abandon_proposed | BIT(staged) }

    /* A proposal is committed; it has no effect unless its version is the
     * staged version [source/transition._activate, _abandon]. */
    :: d_step { staged != NONE && HAS(activate_proposed, staged) ->
        assert(staged > accepted);        /* accepted versions only increase */
        accepted = staged;
        announced = announced | BIT(staged);
        staged = NONE }
#ifdef M_ABANDON_UNCHECKED
    :: d_step { last_staged != NONE && HAS(abandon_proposed, last_staged) ->
        abandoned = abandoned | BIT(last_staged);
        staged = NONE }
#else
    :: d_step { staged != NONE && HAS(abandon_proposed, staged) ->
        abandoned = abandoned | BIT(staged);
        staged = NONE }
#endif

    /* The node receives a version and puts it in force: only an established
     * version, which is an accepted version here. */
#ifdef M_STAGED_IS_SERVED
    :: d_step { staged > in_force && HAS(compiled, staged) -> in_force = staged }
#endif
    :: d_step { accepted > in_force -> in_force = accepted }

    /* An announced version is never abandoned. */
    :: d_step { (abandoned & announced) != 0 -> assert(false) }

    /* An abandoned version is never served. */
    :: d_step { HAS(abandoned, in_force) -> assert(false) }
    od
}
