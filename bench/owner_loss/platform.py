"""The stand-in platform of the review, with proxies and a record of all calls."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

from aiohttp import web
from rig import SILENT_SECONDS, TICK_SECONDS, Entry, Minion, Rig, Run, json_response

from . import ROOT
from .judge import Judge
from .network import Network

PLATFORM: Final = "platform"
REDIRECT: Final = Path(__file__).parent / "redirect"
BEAT_SECONDS: Final = 1.5
BEATS_UNTIL_REMOVED: Final = 3


class PlayedEntry(Entry):
    """An entry whose connections go through the proxies of the run."""

    rig: Platform

    async def async_start(self) -> None:
        """Start the process with the command of the deploy file."""
        settings = self.rig.scratch(f"{self.name}.json")
        settings.write_text(json.dumps(self.rig.settings_of(self)))
        proxies = self.rig.scratch(f"{self.name}-proxies.json")
        proxies.write_text(json.dumps(self.rig.network.proxies[self.name]))
        names = ("PATH", "HOME", "LANG")
        variables = {name: os.environ[name] for name in names if name in os.environ}
        variables["PYTHONPATH"] = f"{REDIRECT}:{ROOT / 'target' / 'deps'}"
        variables["MUSTARDWARD_BOOT"] = str(settings)
        variables["OWNER_LOSS_PROXIES"] = str(proxies)
        command = ["python3", "-m", "mustardward.node"]
        is_restart = self.process is not None
        with self._log.open("ab" if is_restart else "wb") as log:
            self.process = subprocess.Popen(  # noqa: ASYNC220 - returns at once
                command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )


class Platform(Rig):
    """Play store, workers and list of machines, and judge what the workers do.

    :param late_shares: shares of calls that are carried out or answered late, by kind.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        super().__init__(folder)
        self.folder = folder
        self.network = Network(seed)
        self.judge = Judge(self.record, self.minions)
        self.late_shares: dict[str, float] = {}
        self._rng = random.Random(seed)
        self._sender: dict[str, Any] = {}
        self.on_run = self._on_run
        self.on_noted = self._on_noted

    def add_entry(self, name: str, number: int, zone: str = "z1") -> Entry:
        """Describe an entry, whose log is kept."""
        entry = PlayedEntry(self, name, f"127.0.{self._block}.{number}", zone)
        entry._log = self.folder / f"{name}.log"
        self.entries[name] = entry
        return entry

    async def async_connect(self) -> None:
        """Open the proxies of all entries; all workers have been added."""
        shared = [(PLATFORM, self._cloud), (PLATFORM, self._advice)]
        shared += [(name, row["address"]) for name, row in self.machines.items()]
        for entry in self.entries.values():
            shared.append((entry.name, f"{entry.ip}:{entry.peer_port}"))
        for name, entry in self.entries.items():
            entry.store_address = await self.async_gate(name)
            for target, address in [*shared, (PLATFORM, entry.store_address)]:
                await self.network.async_listen(name, target, address)

    def boot(self, machine: str, same_id: str = "") -> Minion:
        """Start the next life of a machine; the first one began a while ago."""
        minion = super().boot(machine, same_id)
        if self.machines[machine]["lives"] == 1:
            minion.zero -= self._rng.uniform(20.0, 400.0)
        return minion

    def _register(self, minion: Minion) -> None:
        if not self.network.is_cut(minion.machine, PLATFORM):
            super()._register(minion)

    def register_machines(self, machines: Iterable[str]) -> None:
        """Write the entries of the workers of some machines that are up."""
        for machine in machines:
            minion = self._minion_at(machine)
            if minion is not None:
                self._register(minion)

    async def _async_beat(self) -> None:
        silent: dict[str, int] = {}
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            known = set(self.store.topic("keyed.servers").newest)
            for name in known | set(self.minions):
                minion = self.minions.get(name)
                silent[name] = silent.get(name, 0) + 1
                if minion and not self.network.is_cut(minion.machine, PLATFORM):
                    silent[name] = 0
                    self._register(minion)
                elif name in known and silent[name] >= BEATS_UNTIL_REMOVED:
                    self.store.put("keyed.servers", name, b"")

    async def async_watch_leases(self) -> None:
        """Tell the judge of leases that lapse."""
        while True:
            for minion in self.minions.values():
                self.judge.mark_lapsed(minion)
            await asyncio.sleep(TICK_SECONDS)

    async def _async_minion(
        self, minion: Minion | None, request: web.BaseRequest
    ) -> web.StreamResponse:
        caller = self.network.caller_of(request.remote or "")
        body = json.loads(await request.content.read(-1) or b"{}")
        kind = request.path.rpartition("/")[2]
        expected = request.headers.get("Mustardward-Expected-Instance")
        after = 0.0
        if self._rng.random() < self.late_shares.get(kind, 0.0):
            before = self._rng.choice((0.0, self._rng.uniform(0.3, 7.0)))
            after = 0.0 if before else self._rng.uniform(0.3, 3.0)
            self.record.write(
                "late", call=kind, id=expected, before=before, after=after
            )
            await asyncio.sleep(before)
            minion = self.minions.get(expected or "")
        if minion is None:
            await asyncio.sleep(SILENT_SECONDS)
            return web.Response(status=503)
        if expected != minion.id:
            return json_response({"clock-ms": minion.clock_ms}, 421)
        answer = await self._async_answer(minion, kind, body, caller)
        await asyncio.sleep(after)
        return answer

    async def _async_answer(
        self, minion: Minion, kind: str, body: dict[str, Any], caller: str
    ) -> web.StreamResponse:
        self._sender = sender = {"caller": caller, "fence": body.get("fence", 0)}
        if kind == "hold":
            self.judge.mark_lapsed(minion)
            seen = body.get("seen-upto", 0)
            margin = int(body.get("deadline-ms", minion.clock_ms) - minion.clock_ms)
            self.record.write("hold", id=minion.id, seen=seen, margin=margin, **sender)
            answer = await self._async_hold(minion, body)
            assert isinstance(answer, web.Response) and isinstance(answer.body, bytes)
            told = answer.body.decode()
            self.record.write("held", id=minion.id, told=told, **sender)
            return answer
        if kind == "run-start":
            margin = int(body["deadline-ms"] - minion.clock_ms)
            reason = self.start(minion, body, f"{caller},margin={margin}")
        elif kind == "run-stop":
            reason = self._stop(minion, body)
        else:
            reason = "" if self._accept(minion, body) else "fence"
        told = {"reason": reason} if reason else {}
        status = 409 if reason else 200
        return json_response({"clock-ms": minion.clock_ms} | told, status)

    def _on_run(self, what: str, minion: Minion, run: Run) -> None:
        if what == "start":
            self.judge.add_start(minion, run, **self._sender)
        elif what != "lost":
            self.judge.add_end(minion, minion.ended[-1])

    def _on_noted(self, minion: Minion, row: list[Any]) -> None:
        run = {"task": row[1], "run": row[2], "how": row[3]}
        self.record.write("noted", id=minion.id, **run, **self._sender)
        self.judge.add_note(minion, row)

    async def async_close(self) -> None:
        """End all that was started here."""
        self.network.close()
        await super().async_close()
