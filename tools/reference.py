"""Write the reference pages under ``docs/reference``."""

from __future__ import annotations

from pathlib import Path

from geraniumbend._reference import render_errors, render_events, render_settings

FOLDER = Path(__file__).resolve().parent.parent / "docs" / "reference"
PAGES = {
    "settings.md": render_settings,
    "log-events.md": render_events,
    "errors.md": render_errors,
}


def write_pages() -> None:
    """Write all pages that are generated from the code."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, render in PAGES.items():
        (FOLDER / name).write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    write_pages()
