"""Generate `docs/SETTINGS.md` from the definitions in `config.py`."""

from __future__ import annotations

import msgspec
from msgspec import inspect

from egretworks.config import ClientSettings, Section, Settings, SidecarSettings
from egretworks.tables import as_json

INTRODUCTION = """# Settings

This page is made from the definitions in `config.py` by `python -m egretworks.settingspage`; a test
holds it to them. An unknown key, a wrong type or a value out of range stops the program with the
key's name. `egretd --check-settings FILE` only checks. IP numbers stand for addresses everywhere.
"""


def render() -> str:
    """Return the page as Markdown."""
    parts = [INTRODUCTION, "\n## egretd\n"]
    parts += _tables(Settings, "")
    parts.append("\n## meshd\n")
    parts += _tables(SidecarSettings, "")
    parts.append("\n## egretctl\n")
    parts += _tables(ClientSettings, "")
    return "".join(parts)


def _tables(kind: type[Section], prefix: str) -> list[str]:
    """Return a Markdown table for the keys of `kind`, followed by one for each nested table."""
    rows, nested = [], []
    for field in inspect.type_info(kind).fields:
        if isinstance(field.type, inspect.StructType):
            nested += _tables(field.type.cls, f"{prefix}{field.encode_name}")
            continue
        rows.append(_row(field))
    if not rows:
        return nested
    heading = f"\n### [{prefix}]\n" if prefix else ""
    header = "\n| key | default | meaning |\n| --- | --- | --- |\n"
    return [heading, header, *rows, *nested]


def _row(field: inspect.Field) -> str:
    description = ""
    if isinstance(field.type, inspect.Metadata):
        description = (field.type.extra_json_schema or {}).get("description", "")
    default = "required" if field.required else f"`{_default(field)}`"
    return f"| `{field.encode_name}` | {default} | {description} |\n"


def _default(field: inspect.Field) -> str:
    value = field.default
    if value is msgspec.NODEFAULT:
        value = field.default_factory()
    return as_json(value)


if __name__ == "__main__":
    print(render(), end="")
