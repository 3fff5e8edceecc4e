"""Check that pages link to what exists."""

from __future__ import annotations

import re
from pathlib import Path

from bench.pages import INDEX, MARK, listing, renew, title_of

_DOCS = Path(__file__).parents[2] / "docs"
_LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")


def test_links_between_pages_lead_somewhere() -> None:
    broken = [
        f"{page.relative_to(_DOCS)} -> {target}"
        for page in sorted(_DOCS.rglob("*.md"))
        for target in _LINK.findall(page.read_text(encoding="utf-8"))
        if "://" not in target and not (page.parent / target).exists()
    ]
    assert broken == []


def test_an_index_lists_pages_and_keeps_what_was_written_by_hand(
    tmp_path: Path,
) -> None:
    (tmp_path / "0001-first.md").write_text("# The first\n", encoding="utf-8")
    (tmp_path / "rows.md").write_text("| a |\n", encoding="utf-8")
    index = tmp_path / INDEX
    index.write_text(f"# Head\n\n{MARK}\nold\n", encoding="utf-8")
    renew(tmp_path)
    text = index.read_text(encoding="utf-8")
    assert text.startswith("# Head\n") and "old" not in text
    assert listing(tmp_path) == ["- [The first](0001-first.md)", "- [Rows](rows.md)"]
    assert title_of(tmp_path / "rows.md") == "Rows"
