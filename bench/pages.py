"""Renew the indexes of decisions and operators' pages.

``python -m bench.pages`` lists every page under its title; what stands above the marked
line of an index is written by hand and kept.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

DOCS: Final = Path(__file__).parents[1] / "docs"
FOLDERS: Final = ("decisions", "operators", "measurements")
MARK: Final = "<!-- pages: listed by python -m bench.pages -->"
INDEX: Final = "index.md"


def title_of(page: Path) -> str:
    """Return a page's first heading, or a name made from its file."""
    for line in page.read_text(encoding="utf-8").splitlines():
        if line.startswith("# "):
            return line[2:].strip()
    return page.stem.replace("-", " ").capitalize()


def listing(folder: Path) -> list[str]:
    """Return a line for each page of a folder."""
    pages = sorted(page for page in folder.glob("*.md") if page.name != INDEX)
    return [f"- [{title_of(page)}]({page.name})" for page in pages]


def renew(folder: Path) -> None:
    """Rewrite the list of a folder's index."""
    index = folder / INDEX
    head = f"# {folder.name.capitalize()}\n\n"
    if index.exists():
        head = index.read_text(encoding="utf-8").partition(MARK)[0]
    lines = "\n".join(listing(folder))
    index.write_text(f"{head}{MARK}\n\n{lines}\n", encoding="utf-8")


def main() -> None:
    """Renew every index."""
    for name in FOLDERS:
        renew(DOCS / name)
        print(f"index={name} pages={len(listing(DOCS / name))}")


if __name__ == "__main__":
    main()
