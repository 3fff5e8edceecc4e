"""Show that the check of each invariant can fail, and passes what is right."""

from __future__ import annotations

from dataclasses import replace
from math import inf

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.history.checks import NAMES, check_history
from bench.history.checks.registry import INVARIANTS
from bench.history.models import (
    CallerRequest,
    Execution,
    Floor,
    History,
    Isolation,
    Outcome,
    Owned,
    OwnerSeen,
    Placement,
    PowerChange,
    PowerEvent,
    Published,
    RevisionSeen,
    Stop,
    TaskExecution,
)

REQUEST = CallerRequest(
    "op-1", "entry-1", "dairy", "turning", False, "", 1.0, 2.0, Outcome.ANSWERED, 200
)
RUN = Execution("op-1", "a-1", "w-1", "dairy", "turning", "", 1, 1.1, 1.9)
TASK = TaskExecution("job-1", "w-1", 4, False, 1.0, 3.0, "done")


def found(history: History) -> set[str]:
    return {item.invariant for item in check_history(history)}


def fleet(instances: int = 8, racks: int = 4) -> History:
    """Return a pool of one data centre whose floor is half, with rack headroom."""
    names = [f"w-{number}" for number in range(instances)]
    return History(
        placements=[
            Placement(name, "bergen", f"rack-{index % racks}")
            for index, name in enumerate(names)
        ],
        owned=[Owned(0.0, 0, name, "etching") for name in names],
        floors=[Floor("dairy", "etching", 0.5, True)],
        pool_of_service={("dairy", "turning"): "etching"},
    )


def change(at: float, number: int, what: PowerChange) -> PowerEvent:
    return PowerEvent(at, f"w-{number}", what)


def test_every_invariant_has_a_check() -> None:
    assert set(NAMES) == set(INVARIANTS) and len(NAMES) == 8


def test_an_answer_that_is_foreign_or_short_is_found() -> None:
    assert found(History(requests=[REQUEST])) == set()
    assert found(History(requests=[replace(REQUEST, own=False)])) == {"own-answer"}
    assert found(History(requests=[replace(REQUEST, whole=False)])) == {"own-answer"}


def test_a_refusal_that_claims_not_run_is_held_to_it() -> None:
    refused = replace(REQUEST, outcome=Outcome.REFUSED, status=503, ran="no")
    assert found(History(requests=[refused])) == set()
    late = replace(RUN, start=9.0, end=9.5)
    assert found(History([refused], [late])) == {"refusal-true"}
    honest = replace(refused, ran="unknown")
    assert found(History([honest], [RUN])) == set()


def test_a_refusal_of_a_retry_speaks_for_earlier_requests_under_its_key() -> None:
    first = replace(REQUEST, key="k", outcome=Outcome.UNKNOWN)
    retry = replace(
        REQUEST, operation_id="op-2", key="k", outcome=Outcome.REFUSED, ran="no"
    )
    run = replace(RUN, key="k")
    history = History([first, replace(retry, start=3.0, end=4.0)], [run])
    assert found(history) == {"refusal-true"}
    before = History([first, replace(retry, start=0.1, end=0.9)], [run])
    assert found(before) == set()
    other = replace(run, organisation="gauges")
    elsewhere = History([replace(retry, start=3.0, end=4.0)], [other])
    assert found(elsewhere) == set()


def test_a_second_run_is_found_for_requests_keys_and_jobs() -> None:
    again = replace(RUN, attempt_id="a-2", instance="w-2", start=1.5)
    assert found(History([REQUEST], [RUN, again])) == {"at-most-once"}
    assert found(History([replace(REQUEST, idempotent=True)], [RUN, again])) == set()
    keyed = [
        replace(REQUEST, operation_id=f"op-{number}", key="k") for number in (1, 2)
    ]
    runs = [replace(item, key="k") for item in (RUN, again)]
    runs[1] = replace(runs[1], operation_id="op-2")
    assert found(History(keyed, runs)) == {"at-most-once"}


def test_a_job_that_runs_again_is_found_unless_it_goes_on_from_a_checkpoint() -> None:
    second = replace(TASK, generation=5, start=5.0, end=6.0)
    for outcome in ("done", "failed", "cut", "lease-lapsed", "stopped"):
        first = replace(TASK, outcome=outcome)
        assert found(History(tasks=[first, second])) == {"at-most-once"}
    checkpointed = replace(TASK, outcome="checkpointed")
    assert found(History(tasks=[checkpointed, second])) == set()
    beside = replace(second, start=2.0)
    assert found(History(tasks=[checkpointed, beside])) == {"at-most-once"}
    harmless = [replace(TASK, idempotent=True), replace(second, idempotent=True)]
    assert found(History(tasks=harmless)) == set()


def test_work_on_a_leaving_instance_is_found_after_the_bound() -> None:
    drained = [change(1.0, 1, PowerChange.DRAINING)]
    early = replace(RUN, start=3.9, end=4.0)
    late = replace(RUN, start=4.1, end=4.2)
    assert found(History(executions=[early], power=drained)) == set()
    assert found(History(executions=[late], power=drained)) == {"leaving-no-work"}
    returned = [*drained, change(3.0, 1, PowerChange.RETURNED)]
    assert found(History(executions=[late], power=returned)) == set()


def test_an_entry_that_still_answers_after_it_left_is_found() -> None:
    stop = Stop("entry-1", 1.0, True)
    late = replace(REQUEST, start=4.5, end=4.6)
    assert found(History([late], stops=[stop])) == {"leaving-no-work"}
    assert found(History([late], stops=[replace(stop, planned=False)])) == set()


def test_a_reboot_that_cuts_work_is_found() -> None:
    cut = replace(RUN, end=5.0, cut=True)
    reboot = [change(4.9, 1, PowerChange.REBOOTING)]
    assert found(History(executions=[cut], power=reboot)) == {"graceful-stop"}
    failure = [change(4.9, 1, PowerChange.FAILED)]
    assert found(History(executions=[cut], power=failure)) == set()
    task = replace(TASK, end=5.0, outcome="cut")
    assert found(History(tasks=[task], power=reboot)) == {"graceful-stop"}


def test_a_planned_stop_of_an_entry_that_cuts_a_request_is_found() -> None:
    broken = replace(REQUEST, end=3.0, outcome=Outcome.UNKNOWN, status=0)
    stop = Stop("entry-1", 2.0, True)
    assert found(History([broken], stops=[stop])) == {"graceful-stop"}
    killed = Stop("entry-1", 2.5, False)
    assert found(History([broken], stops=[stop, killed])) == set()


def test_views_of_the_owner_have_to_agree_with_the_log() -> None:
    history = fleet()
    history.owned.append(Owned(5.0, 7, "w-1", "casting"))
    view = OwnerSeen(6.0, 6.1, "entry-1", 7, "w-1", "casting")
    history.owners_seen.append(view)
    assert found(history) == set()
    history.owners_seen.append(replace(view, generation=0, pool="etching"))
    assert found(history) == set()
    history.owners_seen.append(replace(view, pool="etching"))
    assert found(history) == {"one-pool"}


def test_work_for_the_old_owner_after_a_transfer_is_found() -> None:
    """Find an instance that works for two pools at once.

    Symptom: a worker of the casting pool answers a request of the etching pool.
    Sequence: an entry acknowledges a move while its request runs; the transfer is
    accepted. Cause: the acknowledgement did not wait for what was in flight.
    """
    history = fleet()
    history.owned.append(Owned(5.0, 7, "w-1", "casting"))
    before = replace(RUN, start=4.0, end=4.9)
    history.executions = [before]
    assert found(history) == set()
    history.executions = [replace(before, end=5.1)]
    assert found(history) == {"one-pool"}
    history.executions = [replace(before, start=5.5, end=5.6)]
    assert found(history) == {"one-pool"}


def test_planned_work_below_the_floor_is_found() -> None:
    history = fleet()
    history.power = [change(1.0, number, PowerChange.DRAINING) for number in range(4)]
    assert found(history) == set()
    history.power.append(change(2.0, 4, PowerChange.DRAINING))
    assert found(history) == {"budget"}


def test_a_step_that_ignores_known_failures_is_found() -> None:
    history = fleet()
    history.power = [change(1.0, number, PowerChange.FAILED) for number in range(4)]
    assert found(history) == set(), "failures alone are nobody's violation"
    history.power.append(change(2.0, 7, PowerChange.DRAINING))
    assert found(history) == set(), "nobody could know of them yet"
    history.power[-1] = change(9.0, 7, PowerChange.DRAINING)
    assert found(history) == {"budget"}


def test_a_failed_rack_during_a_wave_must_fit_the_headroom() -> None:
    history = fleet()
    history.power = [change(1.0, number, PowerChange.REBOOTING) for number in (0, 1)]
    rack = [change(2.0, 2, PowerChange.FAILED), change(2.1, 6, PowerChange.FAILED)]
    history.power += rack
    assert found(history) == set()
    history.power = [change(0.5, 5, PowerChange.DRAINING), *history.power]
    assert found(history) == {"budget"}
    unreserved = replace(history.floors[0], reserve_largest_rack=False)
    history.floors = [unreserved]
    assert found(history) == set()


PUBLISHED = Published("pub-1", "dairy", 0, 1.0, 1.2, 1.1, 1)
VIEW = RevisionSeen("entry-1", 1, "dairy", 1, 2.0, 2.1)


def test_a_configuration_that_reverts_is_found() -> None:
    """Find a snapshot that takes an accepted revision back.

    Symptom: a template's newer parameters vanish after a restart. Sequence: an entry
    shows revision 2, restarts from an older snapshot, and shows revision 1. Cause: the
    snapshot was taken without a look at the offset.
    """
    second = replace(
        PUBLISHED, operation_id="pub-2", base=1, start=3.0, end=3.3, revision=2
    )
    views = [replace(VIEW, revision=2, start=4.0, end=4.1)]
    views.append(replace(VIEW, revision=1, start=4.5, end=4.6, incarnation=2))
    history = History(published=[PUBLISHED, second], revisions_seen=views[:1])
    assert found(history) == set()
    history.revisions_seen = views
    assert found(history) == {"config-in-force"}


def test_a_revision_that_is_not_in_force_within_the_bound_is_found() -> None:
    stale = replace(VIEW, revision=0, start=5.0, end=5.1)
    late = replace(stale, start=6.5, end=6.6)
    assert found(History(published=[PUBLISHED], revisions_seen=[stale])) == set()
    history = History(published=[PUBLISHED], revisions_seen=[late])
    assert found(history) == {"config-in-force"}
    history.isolations = [Isolation("entry-1", 0.0, 2.0)]
    assert found(history) == set()
    history.isolations = [Isolation("entry-1", 0.0, 1.0)]
    assert found(history) == {"config-in-force"}


def test_two_accepted_changes_of_one_base_are_found() -> None:
    twin = replace(PUBLISHED, operation_id="pub-2", revision=2)
    assert found(History(published=[PUBLISHED, twin])) == {"config-in-force"}
    refused = replace(twin, revision=-1, accepted_at=inf)
    assert found(History(published=[PUBLISHED, refused])) == set()


def test_revisions_have_to_follow_the_order_of_publications() -> None:
    later = replace(
        PUBLISHED, operation_id="pub-2", base=5, start=9.0, end=9.1, revision=0
    )
    assert found(History(published=[PUBLISHED, later])) == {"config-in-force"}


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.floats(0, 50), st.floats(0.01, 5), st.booleans(), st.sampled_from("yn?")
        ),
        max_size=30,
    )
)
def test_requests_that_keep_the_rules_are_never_flagged(
    plan: list[tuple[float, float, bool, str]],
) -> None:
    history = fleet()
    for index, (start, length, idempotent, fate) in enumerate(plan):
        name = f"op-{index}"
        end = start + length
        outcome, ran = Outcome.ANSWERED, ""
        if fate != "y":
            outcome, ran = Outcome.REFUSED, "no" if fate == "n" else "unknown"
        history.requests.append(
            replace(
                REQUEST,
                operation_id=name,
                idempotent=idempotent,
                start=start,
                end=end,
                outcome=outcome,
                ran=ran,
            )
        )
        if ran != "no":
            history.executions.append(
                replace(RUN, operation_id=name, start=start, end=end)
            )
    assert found(history) == set()
