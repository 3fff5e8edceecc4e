"""Run the one file as an instance without an installed copy would."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import zipfile
from collections.abc import Iterator
from pathlib import Path

import psutil
import pytest

from bench.binary import build, required_distributions
from bench.binary_main import FOLDER_VARIABLE, module_name

pytestmark = pytest.mark.processes

_MEMORY_BACKED = Path("/dev/shm")
_IMPORT_ALL = """
import importlib, runpy, sys
archive = sys.argv[1]
sys.path.insert(0, archive)
main = runpy.run_path(archive, run_name="one_file")
sys.meta_path.append(main["ArchiveExtensionFinder"](archive))
loaded = [importlib.import_module(name) for name in sys.argv[2:]]
print(len(loaded), {item.__spec__.loader.__class__.__name__ for item in loaded})
"""


@pytest.fixture(scope="module")
def one_file(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build(tmp_path_factory.mktemp("dist") / "mustardward")


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[Path]:
    """Give a folder in memory where the machine has one."""
    if not os.access(_MEMORY_BACKED, os.W_OK):
        yield tmp_path
        return
    created = _MEMORY_BACKED / f"mustardward-test-{os.getpid()}"
    created.mkdir()
    yield created
    created.rmdir()


def environment(folder: Path) -> dict[str, str]:
    """Leave out HOME and everything that could lead to an installed copy."""
    return {"PATH": os.defpath, FOLDER_VARIABLE: str(folder)}


def test_every_extension_module_loads_and_leaves_no_file(
    one_file: Path, folder: Path
) -> None:
    with zipfile.ZipFile(one_file) as archive:
        modules = [name for item in archive.namelist() if (name := module_name(item))]
    assert "msgspec._core" in modules
    completed = subprocess.run(
        [sys.executable, "-I", "-S", "-c", _IMPORT_ALL, str(one_file), *modules],
        env=environment(folder),
        cwd="/",
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.strip() == f"{len(modules)} {{'UnlinkingLoader'}}"
    assert not list(folder.iterdir())


def test_a_command_runs_as_exactly_one_process(one_file: Path, folder: Path) -> None:
    """Start no child.

    Symptom: a stop signal reaches the parent and leaves a child that serves on.
    Sequence: a one-file program unpacks itself and starts the program proper. Cause:
    the builder's loader, which stays as the parent. Here the command waits for an
    answer that never comes, so there is time to look.
    """
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        url = f"http://127.0.0.1:{port}"
        process = subprocess.Popen(
            [sys.executable, "-I", "-S", str(one_file), "explain", "job", "j"]
            + ["--server", url],
            env=environment(folder),
            cwd="/",
        )
        try:
            server.settimeout(30)
            connection, _ = server.accept()
            seen = psutil.Process(process.pid)
            assert seen.children(recursive=True) == []
            assert str(one_file) in seen.cmdline()
            assert not list(folder.iterdir())
            connection.close()
            assert process.wait(timeout=30) == 3
        finally:
            process.kill()
            process.wait()


def test_the_build_holds_what_runs_and_nothing_of_the_tools(one_file: Path) -> None:
    names = required_distributions()
    assert {"anyio", "h2", "hypercorn", "msgspec", "xxhash"} <= names.keys()
    assert not {"mypy", "numpy", "pytest", "matplotlib"} & names.keys()
    with zipfile.ZipFile(one_file) as archive:
        members = set(archive.namelist())
    assert {"mustardward/cli/main.py", "mustardward/cli/main.pyc"} <= members


def test_the_build_gives_the_same_bytes_again(one_file: Path, tmp_path: Path) -> None:
    again = build(tmp_path / "again")
    assert again.read_bytes() == one_file.read_bytes()
