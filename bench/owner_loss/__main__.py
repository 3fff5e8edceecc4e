"""Play runs in which the owner is lost, by real processes.

Store, workers and list of machines are those of ``review/rig``; the entries are real
processes of the project, whose connections go through proxies. Needs ``target/deps``.
Each run leaves its record and the logs of its entries. The exit status is 1 if a task
ran twice. ``--help`` lists the losses and the extras.
"""

from __future__ import annotations

import argparse
import asyncio
import inspect
import logging
import sys
import time
from pathlib import Path

from . import ROOT
from .network import CutMode
from .platform import Platform
from .play import DRAWN_EXTRAS, DRAWN_LOSSES, EXTRAS, Loss, Plan, Play, draw_plan


async def _async_play(plan: Plan, folder: Path) -> bool:
    platform = Platform(folder, plan.seed)
    platform.record.write("plan", wall=round(time.time(), 3), plan=plan)
    try:
        figures = await Play(plan, platform).async_run()
    finally:
        await platform.async_close()
    held = not platform.judge.broken
    extras = ",".join(sorted(plan.extras)) or "-"
    kind = f"{plan.loss} {plan.mode} {plan.seconds} {extras}"
    print(
        f"seed={plan.seed} {'held' if held else 'TWICE'} {kind} {figures}", flush=True
    )
    return held


def _describe() -> str:
    """Return the losses and extras for the help."""
    losses = inspect.cleandoc(Loss.__doc__ or "")
    width = max(map(len, EXTRAS))
    rows = [
        f"  {name:{width}}  {text}{'' if name in DRAWN_EXTRAS else ' (never drawn)'}"
        for name, text in EXTRAS.items()
    ]
    return "\n".join([losses, "", "Extras:", *rows])


def main() -> None:
    """Play the runs that the arguments name."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.owner_loss",
        description=_describe(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument(
        "--loss",
        choices=list(Loss),
        default="",
        help=f"one of {','.join(DRAWN_LOSSES)} is drawn by default",
    )
    parser.add_argument("--mode", choices=list(CutMode), default="")
    parser.add_argument("--seconds", type=float)
    parser.add_argument(
        "--extras", help="names separated by commas; drawn by default, see above"
    )
    parser.add_argument("--out", type=Path, default=ROOT / "target" / "owner_loss")
    options = parser.parse_args()
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    for seed in range(options.seed, options.seed + options.runs):
        plan = draw_plan(
            seed, options.loss, options.mode, options.extras, options.seconds
        )
        folder = options.out / f"{seed}-{plan.loss}"
        folder.mkdir(parents=True, exist_ok=True)
        if not asyncio.run(_async_play(plan, folder)):
            sys.exit(1)


if __name__ == "__main__":
    main()
