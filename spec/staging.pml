/* Staging: how the sources stage, activate or abandon a version.
 *
 * Leaders may be deposed and go on for a while; what they propose is committed
 * late, often or never. Messages are facts that stay. A node is here only as
 * somebody who compiles a version or refuses it, and serves what it is told.
 *
 * Names in brackets give the code that a transition stands for.
 */

#ifndef VERSIONS
#define VERSIONS 3
#endif
#define NONE 0
#define BIT(v) (1 << (v))
#define HAS(mask, v) (((mask) >> (v)) & 1)

/* The sources' committed state. */
byte last_staged;
byte staged;
byte accepted;
byte abandoned;
byte announced;

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
    /* A version is staged [source/transition, Apply and StepMove]. */
    :: d_step { staged == NONE && last_staged < VERSIONS ->
        last_staged = last_staged + 1;
        staged = last_staged }

    /* The node compiles it or refuses it, perhaps late [node/uplink, Ack]. */
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

    /* A leader, perhaps a deposed one, decides; a domain that cannot be reached
     * is not waited for [source/distributor_plan]. */
    :: d_step { staged != NONE && !HAS(refused, staged) ->
        activate_proposed = activate_proposed | BIT(staged);
#ifdef M_TOLD_BEFORE_COMMIT
        announced = announced | BIT(staged)
#endif
    }
    :: d_step { staged != NONE -> abandon_proposed = abandon_proposed | BIT(staged) }

    /* A proposal is committed; it does nothing unless its version is the
     * staged one [source/transition, Activate and Abandon]. */
    :: d_step { staged != NONE && HAS(activate_proposed, staged) ->
        assert(staged > accepted);        /* accepted versions only grow */
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

    /* The node is told of a version: established ones only. */
#ifdef M_STAGED_IS_SERVED
    :: d_step { staged > in_force && HAS(compiled, staged) -> in_force = staged }
#endif
    :: d_step { accepted > in_force -> in_force = accepted }

    :: d_step { (abandoned & announced) != 0 -> assert(false) }      /* no revert */
    :: d_step { HAS(abandoned, in_force) -> assert(false) }     /* none served */
    od
}
