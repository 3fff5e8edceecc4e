"""Test which attempts may follow which, and what they cost."""

from __future__ import annotations

from random import Random

import pytest

from mustardward.components.entry.models import (
    Attempt,
    AttemptOutcome,
    Ran,
    RequestFinished,
)
from mustardward.components.retries.services import RetryPolicyService
from mustardward.state.models.templates import Urgency
from tests.fakes.policy import build_attempt, build_facts

NOW = 1_000_000.0
REFUSED = build_attempt(AttemptOutcome.REFUSED)
NOT_SENT = build_attempt(AttemptOutcome.NOT_SENT)
UNKNOWN = build_attempt(AttemptOutcome.UNKNOWN)


def finished(latency: float = 0.05, status: int = 200) -> RequestFinished:
    return RequestFinished(
        "request-1", "small", "quotes", Urgency.NORMAL, status, Ran.YES, latency, 1
    )


@pytest.mark.parametrize(
    ("attempts", "again"),
    [
        ((REFUSED,), True),
        ((NOT_SENT,), True),
        ((UNKNOWN,), False),
        ((build_attempt(status=503),), False),
        ((UNKNOWN, REFUSED), False),
        ((NOT_SENT, REFUSED), True),
    ],
)
def test_non_idempotent_request_never_again_once_it_may_have_run(
    attempts: tuple[Attempt, ...], again: bool
) -> None:
    """Symptom: an order is made twice.

    Sequence: the first attempt's connection is lost after the request was written, a
    second one is refused as not run, a third one is answered.
    Cause: judging by the last attempt alone.
    """
    policy = RetryPolicyService(Random(1))
    decision = policy.decide(build_facts(idempotent=False), attempts, NOW)
    assert decision.should_retry is again
    assert again or decision.cause == "may-have-run"


@pytest.mark.parametrize(
    ("attempt", "again"),
    [
        (UNKNOWN, True),
        (build_attempt(status=503), True),
        (build_attempt(status=200), False),
        (build_attempt(status=404), False),
        (build_attempt(status=501), False),
    ],
)
def test_idempotent_request_is_tried_again_after_what_may_pass(
    attempt: Attempt, again: bool
) -> None:
    decision = RetryPolicyService(Random(1)).decide(build_facts(), (attempt,), NOW)
    assert decision.should_retry is again


def test_nothing_is_retried_past_its_deadline() -> None:
    policy = RetryPolicyService(Random(1))
    facts = build_facts(deadline=NOW + 0.004)
    assert policy.decide(facts, (NOT_SENT,), NOW).cause == "deadline"


def test_retry_storm_is_bounded_by_successes() -> None:
    """Symptom: an outage is followed by several times the load that was there before.

    Sequence: all workers go away; each request is tried four times; the workers come
    back and are at once overloaded by retries.
    Cause: a count of retries for each request, with no regard to how many succeed.
    """
    policy = RetryPolicyService(Random(1))
    attempts = 0
    for number in range(1000):
        facts = build_facts(f"request-{number}")
        policy.record_first(facts)
        tried: tuple[Attempt, ...] = (NOT_SENT,)
        while policy.decide(facts, tried, NOW).should_retry:
            tried = (*tried, NOT_SENT)
        attempts += len(tried)
    assert attempts / 1000 <= 1.1


def test_successes_earn_the_templates_share_of_retries() -> None:
    policy = RetryPolicyService(Random(1))
    facts = build_facts()
    policy.record_first(facts)
    while policy.decide(facts, (NOT_SENT,), NOW).should_retry:
        pass
    for _ in range(200):
        policy.on_finished(finished())
    retries = 0
    while policy.decide(facts, (NOT_SENT,), NOW).should_retry:
        retries += 1
    assert 19 <= retries <= 21


def test_pauses_have_full_jitter() -> None:
    """Symptom: callers that failed together come back together.

    Sequence: a worker goes away under a hundred requests; each is tried again after
    the same pause, on the same next worker.
    Cause: a pause without jitter.
    """
    policy = RetryPolicyService(Random(1))
    for _ in range(400):
        policy.record_first(build_facts())
        policy.on_finished(finished())
    delays = [
        policy.decide(build_facts(), (NOT_SENT,), NOW).delay_seconds for _ in range(30)
    ]
    assert min(delays) < 0.005
    assert max(delays) > 0.02
    assert len(set(delays)) == 30


def test_hedges_only_urgent_idempotent_requests_inside_the_budget() -> None:
    policy = RetryPolicyService(Random(1))
    urgent = build_facts(urgency=Urgency.URGENT)
    policy.record_first(urgent)
    assert policy.hedge_after(urgent) is None
    random = Random(2)
    for _ in range(3000):
        policy.on_finished(finished(random.uniform(0.0, 0.1)))
    assert policy.hedge_after(urgent) == pytest.approx(0.095, rel=0.1)
    assert policy.hedge_after(build_facts()) is None
    not_idempotent = build_facts(urgency=Urgency.URGENT, idempotent=False)
    assert policy.hedge_after(not_idempotent) is None
    taken = 0
    while policy.take_hedge(urgent, NOW):
        taken += 1
    assert taken == 50
