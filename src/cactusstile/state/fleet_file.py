"""Parses and renders fleet files, which operators edit and apply."""

from __future__ import annotations

import pathlib
import typing

from cactusstile.settings import ini
from cactusstile.state import keys
from cactusstile.state import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc
    import configparser

    _Report = collections.abc.Callable[[str, str, str], None]
    _Declared = collections.abc.Set[tuple[str, ...]]

MAX_REVISION = (1 << 63) - 1
_LINK_SECTION_WORDS = 3
_PART_SECTION_WORDS = 2


def _parse_adapters(text: str) -> tuple[str, ...]:
    result = []
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        adapter, separator, version = part.partition("@")
        if not separator:
            raise ValueError(f"{part!r} does not have the form name@version")
        result.append(f"{ini.name(adapter)}@{ini.name(version)}")
    return tuple(result)


def _parse_hashes(text: str) -> tuple[str, ...]:
    return tuple(
        keys.check_hash(part) for part in text.replace(",", " ").split()
    )


def _parse_agent(text: str) -> address.Address:
    parsed = address.parse(text)
    if parsed.port == 0:
        raise ValueError(f"{text!r} has port 0; specify the port of the agent")
    return parsed


_parse_weight = ini.number(0, 1000)

FLEET = (
    ini.Option("name", ini.name, "Name of the site."),
    ini.Option(
        "revision",
        ini.integer(1, MAX_REVISION),
        "The operators' number of this file; raise it with every change.",
    ),
)
WORKSPACE = (
    ini.Option(
        "key_hashes", _parse_hashes, "Salted hashes of callers' keys.", ()
    ),
    ini.Option("share", ini.number(0.01, 1000), "Weight in queues.", 1.0),
    ini.Option(
        "max_running",
        ini.integer(1, 100_000),
        "Bound on requests in flight at one entry.",
        256,
    ),
)
DEPLOYMENT = (
    ini.Option("model", ini.name, "Name of the model at the engines."),
    ini.Option("version", ini.name, "Weight version to be in force."),
    ini.Option("adapters", _parse_adapters, "Adapters as name@version.", ()),
    ini.Option("workspaces", ini.names, "Who may use it; empty: all.", ()),
    ini.Option(
        "first_token_weight", _parse_weight, "Weight of first token.", 1.0
    ),
    ini.Option(
        "recompute_weight", _parse_weight, "Weight of prompt work.", 1.0
    ),
    ini.Option("link_weight", _parse_weight, "Weight of link use.", 1.0),
    ini.Option(
        "max_concurrent_loads",
        ini.integer(1, 1000),
        "Bound on targets that load weights at once.",
        1,
    ),
)
SERVICE = (
    ini.Option("workspaces", ini.names, "Who may use it; empty: all.", ()),
    ini.Option(
        "repeatable_methods",
        ini.names,
        "HTTP methods that may be repeated.",
        ("GET", "HEAD"),
    ),
    ini.Option(
        "timeout_s", ini.number(0.01, 3600), "Bound on one call, seconds.", 30.0
    ),
)
TARGET = (
    ini.Option(
        "kind",
        ini.choice(*(kind.value for kind in model.TargetKind)),
        "engine, service or store.",
    ),
    ini.Option("agent", _parse_agent, "IP number and port of the agent."),
    ini.Option("data_centre", ini.name, "Data centre of the target's VM."),
    ini.Option("serves", ini.name, "Deployment or service it serves.", ""),
    ini.Option(
        "checks_fence", ini.yes_or_no, "Whether it refuses old orders.", False
    ),
    ini.Option(
        "role",
        ini.name,
        "Role an engine is ordered to have; empty: its own.",
        "",
    ),
)
LINK = (
    ini.Option(
        "bytes_per_s", ini.number(1, 1e12), "Bandwidth for kept blocks."
    ),
    ini.Option("price", ini.number(0, 1e9), "Cost of a gigabyte.", 0.0),
)
SECTIONS = {
    "workspace": WORKSPACE,
    "deployment": DEPLOYMENT,
    "service": SERVICE,
    "target": TARGET,
    "link": LINK,
}


def read(path: pathlib.Path) -> model.Fleet:
    """Returns the fleet in the file at `path`.

    Raises:
      OSError: If the file cannot be read.
      InvalidFileError: If the file is invalid; lists all problems.
    """
    try:
        text = path.read_text()
    except UnicodeDecodeError as error:
        problem = ini.Problem(str(path), "", "", f"not UTF-8: {error}")
        raise ini.InvalidFileError([problem]) from error
    return parse(text, str(path))


def parse(text: str, file: str) -> model.Fleet:
    """Returns the fleet in `text`, including checks across sections.

    Args:
      text: Content of a fleet file.
      file: Name of the file, for messages.

    Raises:
      InvalidFileError: If the text is invalid; lists all problems.
    """
    parser = ini.parse_text(text, file)
    problems: list[ini.Problem] = []
    site = ini.read_section(parser, "fleet", FLEET, file, problems)
    parts: dict[str, dict[typing.Any, typing.Any]] = {
        kind: {} for kind in SECTIONS
    }
    for section in parser.sections():
        if section != "fleet":
            _read_part(parser, section, file, problems, parts)
    fleet = model.Fleet(
        name=site.get("name", ""),
        revision=site.get("revision", 0),
        workspaces=parts["workspace"],
        deployments=parts["deployment"],
        services=parts["service"],
        targets=parts["target"],
        links=parts["link"],
    )
    declared = set(map(tuple, map(str.split, parser.sections())))
    problems += _cross_check(fleet, declared, file)
    if problems:
        raise ini.InvalidFileError(problems)
    return fleet


def _read_part(
    parser: configparser.ConfigParser,
    section: str,
    file: str,
    problems: list[ini.Problem],
    parts: dict[str, dict[typing.Any, typing.Any]],
) -> None:
    kind, *names = section.split()
    expected_words = (
        _LINK_SECTION_WORDS if kind == "link" else _PART_SECTION_WORDS
    )
    if kind not in SECTIONS or len(names) + 1 != expected_words:
        known = ", ".join(f"[{name} NAME]" for name in list(SECTIONS)[:-1])
        text = f"unknown section; write [fleet], {known} or [link A B]"
        problems.append(ini.Problem(file, section, "", text))
        return
    try:
        names = [ini.name(name) for name in names]
    except ValueError as error:
        problems.append(ini.Problem(file, section, "", str(error)))
        return
    before = len(problems)
    values = ini.read_section(parser, section, SECTIONS[kind], file, problems)
    if len(problems) > before:
        return
    try:
        _add_part(kind, names, values, parts[kind])
    except ValueError as error:
        problems.append(ini.Problem(file, section, "", str(error)))


def _add_part(
    kind: str,
    names: list[str],
    values: dict[str, typing.Any],
    parts: dict[typing.Any, typing.Any],
) -> None:
    if kind == "link":
        ends = (min(names), max(names))
        if ends[0] == ends[1] or ends in parts:
            raise ValueError(
                "a link connects two data centres and is declared once"
            )
        parts[ends] = model.Link(ends, **values)
        return
    name = names[0]
    if name in parts:
        raise ValueError("declared twice; remove one of the two sections")
    if kind == "target":
        values["kind"] = model.TargetKind(values["kind"])
    parts[name] = _CLASSES[kind](name, **values)


_CLASSES: dict[str, typing.Any] = {
    "workspace": model.Workspace,
    "deployment": model.Deployment,
    "service": model.Service,
    "target": model.Target,
}


def _cross_check(
    fleet: model.Fleet, declared: _Declared, file: str
) -> list[ini.Problem]:
    problems: list[ini.Problem] = []

    def report(section: str, option: str, text: str) -> None:
        problems.append(ini.Problem(file, section, option, text))

    _check_workspaces("deployment", fleet.deployments, declared, report)
    _check_workspaces("service", fleet.services, declared, report)
    for name in fleet.deployments.keys() & fleet.services.keys():
        text = "a service has this name too; callers could not tell them apart"
        report(f"deployment {name}", "", text)
    _check_targets(fleet, declared, report)
    _check_keys(fleet, report)
    return problems


def _check_workspaces(
    kind: str,
    parts: collections.abc.Mapping[str, model.Deployment | model.Service],
    declared: _Declared,
    report: _Report,
) -> None:
    for part in parts.values():
        for workspace in part.workspaces:
            if ("workspace", workspace) not in declared:
                text = f"no [workspace {workspace}] in this file; declare it"
                report(f"{kind} {part.name}", "workspaces", text)


def _check_targets(
    fleet: model.Fleet,
    declared: _Declared,
    report: _Report,
) -> None:
    by_agent: dict[address.Address, str] = {}
    for target in fleet.targets.values():
        section = f"target {target.name}"
        if target.role and target.kind is not model.TargetKind.ENGINE:
            report(section, "role", "only engines have roles; remove it")
        first = by_agent.setdefault(target.agent, target.name)
        if first != target.name:
            text = f"[target {first}] has the same agent; give each its own"
            report(section, "agent", text)
        if target.kind is model.TargetKind.STORE:
            if target.serves:
                report(section, "serves", "a store serves nothing; remove it")
            continue
        is_engine = target.kind is model.TargetKind.ENGINE
        kind = "deployment" if is_engine else "service"
        if (kind, target.serves) not in declared:
            names = sorted(name[1] for name in declared if name[0] == kind)
            known = ", ".join(names) or "none is declared"
            text = f"no [{kind} {target.serves}]; write one of: {known}"
            report(section, "serves", text)


def _check_keys(
    fleet: model.Fleet,
    report: _Report,
) -> None:
    owners: set[str] = set()
    for workspace in fleet.workspaces.values():
        for hashed in workspace.key_hashes:
            identity = hashed.split("$", 2)[1]
            if identity in owners:
                text = f"key ID {identity} occurs twice; make a new key"
                report(f"workspace {workspace.name}", "key_hashes", text)
            owners.add(identity)


def render(fleet: model.Fleet) -> str:
    """Returns the text of the fleet file of `fleet`, with all options."""
    lines = ["[fleet]", f"name = {fleet.name}", f"revision = {fleet.revision}"]
    sections: list[tuple[str, typing.Any, str]] = []
    for kind, parts in (
        ("workspace", fleet.workspaces),
        ("deployment", fleet.deployments),
        ("service", fleet.services),
        ("target", fleet.targets),
    ):
        sections += [(kind, part, name) for name, part in parts.items()]
    for ends, link in fleet.links.items():
        sections.append(("link", link, " ".join(ends)))
    for kind, part, name in sections:
        lines += ["", f"[{kind} {name}]"]
        for option in SECTIONS[kind]:
            value = _render_value(getattr(part, option.name))
            if value:
                lines.append(f"{option.name} = {value}")
    return "\n".join(lines) + "\n"


def _render_value(value: typing.Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(value)
    if isinstance(value, model.TargetKind):
        return value.value
    return str(value)
