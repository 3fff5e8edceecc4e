"""Test the stand-in commands as processes."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import httpx
import pytest

pytestmark = pytest.mark.processes

WAIT_SECONDS = 30


@contextmanager
def running(*arguments: str) -> Iterator[tuple[subprocess.Popen[str], str]]:
    """Run a command until the block ends; yield its process and its first line."""
    process = subprocess.Popen(
        [sys.executable, "-m", "mustardward", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        assert process.stdout is not None
        yield process, process.stdout.readline().strip()
    finally:
        if process.poll() is None:
            process.kill()
        process.wait(WAIT_SECONDS)
        process.stdout.close()


def stop(process: subprocess.Popen[str]) -> int:
    process.send_signal(signal.SIGTERM)
    return process.wait(WAIT_SECONDS)


def test_worker_joins_the_platform_and_both_stop_on_sigterm() -> None:
    with running("platform", "--listing-lag-seconds", "0") as (platform, platform_line):
        url = platform_line.removeprefix("platform url=")
        with running(
            "worker",
            "--instance-id",
            "worker-1",
            "--data-centre",
            "flam",
            "--platform-url",
            url,
        ) as (worker, worker_line):
            address = worker_line.rpartition("address=")[2]
            response = httpx.get(f"http://{address}/serve/climate/now", trust_env=False)
            listed = httpx.get(f"{url}/instances", trust_env=False).json()
            worker_code = stop(worker)
        platform_code = stop(platform)
    assert response.json()["instance"] == "worker-1"
    assert [item["address"] for item in listed] == [address]
    assert (worker_code, platform_code) == (0, 0)


def test_invalid_address_is_a_usage_error() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "mustardward", "platform", "--listen", "nowhere"],
        capture_output=True,
        text=True,
        timeout=WAIT_SECONDS,
        check=False,
    )
    assert result.returncode == 2
    assert "nowhere is not host:port" in result.stderr
