"""Renders a settings template as the platform does: placeholders and sections."""

import json
import re

TAG = re.compile(r"\{\{([#^/]?)([^}|]+)(\|json)?\}\}")


def render(text, fields):
    """Fill a template from the fields of a process's settings file."""
    out, end = _render(text, 0, [fields], None)
    assert end == len(text)
    return "".join(out)


def _look_up(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _show(value, as_json):
    if as_json or isinstance(value, dict):
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_show(item, False) for item in value)
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _render(text, at, scopes, section):
    out = []
    while True:
        tag = TAG.search(text, at)
        if tag is None:
            out.append(text[at:])
            return out, len(text)
        out.append(text[at : tag.start()])
        kind, name, as_json = tag.group(1), tag.group(2).strip(), bool(tag.group(3))
        if kind == "/":
            assert name == section, f"section {section!r} is closed as {name!r}"
            return out, tag.end()
        if not kind:
            out.append(_show(_look_up(scopes, name), as_json))
            at = tag.end()
            continue
        value = _look_up(scopes, name)
        inner, at_end = _render(text, tag.end(), scopes, name)
        if kind == "^":
            out += inner if not value else []
        elif isinstance(value, list | dict):
            entries = value.values() if isinstance(value, dict) else value
            for entry in entries:
                out += _render(text, tag.end(), [*scopes, entry], name)[0]
        elif value not in (None, False):
            out += _render(text, tag.end(), [*scopes, value], name)[0]
        at = at_end
