"""Send requests as tablets, shops and planners do, and note what came back."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Any, Final

import anyio
import httpx
import xxhash

from .layout import SERVICES
from .models import CallerRequest, Outcome
from .world import EntryProcess, World

_TIMEOUT_SECONDS: Final = 8.0
_PAUSE_SECONDS: Final = 0.05
_MAXIMUM_TRIES: Final = 4
_READY_SECONDS: Final = 0.3
_LARGE: Final = (4_000, 300_000)
_OK: Final = 200
_PROBLEM: Final = "application/problem+json"


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold a request before it is sent."""

    operation_id: str
    organisation: str
    service: str
    method: str
    key: str
    body: bytes
    query: str
    size: int
    tries: int = 1

    @property
    def idempotent(self) -> bool:
        """Tell whether a repetition does no harm."""
        return self.method == "GET"


class Balancer:
    """Stand in for the platform's balancer: it sends to entries that were ready."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.ready: list[EntryProcess] = []

    async def async_run(self) -> None:
        """Ask every entry again and again whether it is ready."""
        async with httpx.AsyncClient(timeout=0.5, trust_env=False) as client:
            while True:
                found = []
                for entry in self._world.entries:
                    if await self._async_is_ready(client, entry):
                        found.append(entry)
                self.ready = found
                await anyio.sleep(_READY_SECONDS)

    async def _async_is_ready(
        self, client: httpx.AsyncClient, entry: EntryProcess
    ) -> bool:
        if entry.paused:
            return False
        try:
            answer = await client.get(f"{entry.place.url}/-/ready")
        except httpx.HTTPError:
            return False
        return answer.status_code == 200


@dataclass(slots=True, eq=False)
class Callers:
    """Run callers that each send one request after the other.

    :param random: seeded; each caller draws from a stream of its own.
    """

    world: World
    balancer: Balancer
    random: Random
    stopping: bool = False
    _numbers: Iterator[int] = field(default_factory=count)
    _retries: list[Plan] = field(default_factory=list)

    async def async_run(self, number: int) -> None:
        """Send requests until told to stop."""
        random = Random(self.random.random())
        limits = httpx.Limits(max_connections=20)
        async with httpx.AsyncClient(
            timeout=_TIMEOUT_SECONDS, trust_env=False, limits=limits
        ) as client:
            while not self.stopping:
                if not self.balancer.ready:
                    await anyio.sleep(_PAUSE_SECONDS)
                    continue
                entry = random.choice(self.balancer.ready)
                await self._async_send(client, entry, self._plan(random))
                await anyio.sleep(random.expovariate(1 / _PAUSE_SECONDS))

    def _plan(self, random: Random) -> Plan:
        if self._retries and random.random() < 0.7:
            return self._retries.pop()
        name = f"op-{next(self._numbers)}"
        organisation = random.choice(sorted(SERVICES))
        service = random.choice(SERVICES[organisation]).service
        method = random.choice(("GET", "POST", "POST"))
        keyed = method == "POST" and random.random() < 0.5
        size = random.randint(*_LARGE) if random.random() < 0.2 else 0
        sleep = random.expovariate(1 / 0.08)
        if random.random() < 0.05:
            sleep += 1.5
        query = f"sleep={sleep:.3f}"
        if size:
            query += f"&size={size}&stream={random.random() / 2:.3f}"
        body = b"" if method == "GET" else name.encode() * random.randint(1, 50)
        key = f"key-{name}" if keyed else ""
        return Plan(name, organisation, service, method, key, body, query, size)

    async def _async_send(
        self, client: httpx.AsyncClient, entry: EntryProcess, plan: Plan
    ) -> None:
        headers = {"mw-request-id": plan.operation_id}
        if plan.key:
            headers["idempotency-key"] = plan.key
        # A retry under a key has to be the same request, so its path stays the same.
        resource = family_of(plan.operation_id)
        path = f"/{plan.organisation}/{plan.service}/{resource}?{plan.query}"
        label, start = entry.label, self.world.now()
        status = 0
        try:
            async with client.stream(
                plan.method,
                entry.place.url + path,
                headers=headers,
                content=plan.body or None,
            ) as answer:
                status = answer.status_code
                content = await answer.aread()
        except httpx.HTTPError as error:
            kind = type(error).__name__
            self._note(plan, label, start, Outcome.UNKNOWN, status, detail=kind)
            self._try_again(plan)
            return
        if answer.headers.get("content-type", "").startswith(_PROBLEM):
            self._note_refusal(plan, label, start, status, content)
            return
        own, detail = judge_answer(plan, status, content)
        self._note(plan, label, start, Outcome.ANSWERED, status, own=own, detail=detail)

    def _note_refusal(
        self, plan: Plan, label: str, start: float, status: int, content: bytes
    ) -> None:
        problem: dict[str, Any] = json.loads(content)
        ran = str(problem.get("ran", ""))
        code = str(problem.get("type", ""))
        self._note(plan, label, start, Outcome.REFUSED, status, ran=ran, detail=code)
        if ran == "unknown":
            self._try_again(plan)

    def _try_again(self, plan: Plan) -> None:
        # A caller that does not know whether its order ran asks again under its key.
        if plan.key and plan.tries < _MAXIMUM_TRIES:
            name = f"{family_of(plan.operation_id)}-r{next(self._numbers)}"
            again = replace(plan, operation_id=name, tries=plan.tries + 1)
            self._retries.append(again)

    def _note(
        self,
        plan: Plan,
        label: str,
        start: float,
        outcome: Outcome,
        status: int,
        *,
        ran: str = "",
        own: bool = True,
        detail: str = "",
    ) -> None:
        self.world.history.requests.append(
            CallerRequest(
                operation_id=plan.operation_id,
                entry=label,
                organisation=plan.organisation,
                service=plan.service,
                idempotent=plan.idempotent,
                key=plan.key,
                start=start,
                end=self.world.now(),
                outcome=outcome,
                status=status,
                ran=ran,
                own=own,
                detail=detail,
            )
        )


def family_of(operation_id: str) -> str:
    """Return the id of the first request that had the same key."""
    return operation_id.split("-r", 1)[0]


def judge_answer(plan: Plan, status: int, content: bytes) -> tuple[bool, str]:
    """Tell whether an answer is wholly the caller's own, and what is wrong.

    A large answer repeats the request's id line by line; a small one holds the id
    and the digest of the body that the worker got. Under a key, an earlier request of
    the same caller may have been the one that ran.
    """
    if plan.size and status == _OK:
        line = content.split(b"\n", 1)[0] + b"\n"
        wanted = (line * (plan.size // len(line) + 1))[: plan.size]
        own = content == wanted and _is_own(plan, line.decode().strip())
        return own, f"large {len(content)} of {plan.size}"
    try:
        answer = json.loads(content)
    except ValueError:
        return False, f"status={status} not JSON: {content[:60]!r}"
    if not isinstance(answer, dict):
        return False, f"not an answer: {content[:60]!r}"
    digest = xxhash.xxh3_128_hexdigest(plan.body)
    own = answer.get("digest") == digest and _is_own(plan, str(answer.get("request")))
    return own, f"request={answer.get('request')}"


def _is_own(plan: Plan, operation_id: str) -> bool:
    if plan.key:
        return family_of(operation_id) == family_of(plan.operation_id)
    return operation_id == plan.operation_id
