from __future__ import annotations

import pathlib
import re

import pytest

from cactusstile.console import application
from cactusstile.console import exceptions
from cactusstile.settings import ini
from cactusstile.settings import node

DEPLOY = pathlib.Path(__file__).parents[2] / "deploy"
VALUES = {
    "node": "edge-1",
    "ip": "10.1.0.9",
    "zone": "here",
    "zones": '{"here": "lagos"}',
    "bootstrap": "true",
    "dataDir": "",
    "internalPorts": "7580,7595",
    "limits.memoryMb": "150",
    "limits.linkMbps": "100.0",
    "listen.front": "10.1.0.9:8749",
    "listen.ready": "10.1.0.9:8741",
    "listen.control": "",
    "seeds": "10.1.0.9:8745,10.2.0.38:8745",
    "cloud.address": "10.200.0.157:8744",
    "bounds.graceS": "8",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.budgetWindowS": "10",
    "bounds.budgetSlack": "58",
    "bounds.versionMs": "6000",
}


def render(role: str) -> str:
    """Returns the deployment template of a role, filled with `VALUES`."""
    template = (DEPLOY / f"{role}.ini").read_text()
    return re.sub(r"{{(.*?)}}", lambda match: VALUES[match[1]], template)


@pytest.mark.parametrize("role", ["gateway", "registry"])
def test_rendered_template_is_valid(role: str) -> None:
    settings = node.parse(render(role), "node.ini")
    assert (settings.role, settings.name, settings.weights_s) == (
        role,
        "edge-1",
        6.0,
    )
    assert settings.regions == {"here": "lagos"}
    assert settings.operator is None
    assert settings.data_folder is None
    assert str(settings.internal_seeds[1]) == "10.2.0.38:7580"


def test_listeners_bind_to_advertised_address_or_to_bind_host() -> None:
    direct = node.parse(render("gateway"), "node.ini")
    assert direct.internal_bind_address == direct.internal_address
    text = render("gateway").replace("[node]", "[node]\nbind_host = 127.0.0.9")
    relayed = node.parse(text, "node.ini")
    assert relayed.internal_address == direct.internal_address
    assert str(relayed.internal_bind_address) == "127.0.0.9:7580"


def test_truncated_settings_report_every_problem() -> None:
    complete = render("gateway")
    text = complete[: complete.index("platform")] + "\n[odd]\n"
    with pytest.raises(ini.InvalidFileError) as caught:
        node.parse(text, "node.ini")
    options = {problem.option for problem in caught.value.problems}
    assert {"secret", "platform", "admin_port"} <= options


@pytest.mark.parametrize(
    ("old", "new", "option"),
    [
        ("7580,7595", "7595", "internal_ports"),
        ("10.1.0.9:8749", "somewhere", "callers"),
        ("replace-this-by-a-random-text", "short", "secret"),
        ("weights_ms = 6000", "weights_ms = soon", "weights_ms"),
    ],
)
def test_invalid_value_is_reported_with_its_option(
    old: str, new: str, option: str
) -> None:
    with pytest.raises(ini.InvalidFileError) as caught:
        node.parse(render("gateway").replace(old, new), "node.ini")
    assert [problem.option for problem in caught.value.problems] == [option]


def test_check_command_accepts_node_settings(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "node.ini"
    path.write_text(render("registry"))
    assert application.run(["check", str(path)]) is exceptions.ExitCode.OK
    assert "settings of registry edge-1" in capsys.readouterr().out


@pytest.mark.parametrize("role", ["gateway", "registry"])
def test_template_that_is_cut_off_is_not_taken_for_other_settings(
    role: str,
) -> None:
    text = render(role)
    whole = node.parse(text, "node.ini")
    for length in range(len(text)):
        try:
            part = node.parse(text[:length], "node.ini")
        except ini.InvalidFileError:
            continue
        assert part == whole, text[:length]


def test_deeply_nested_regions_are_reported_as_a_problem() -> None:
    text = render("gateway").replace('{"here": "lagos"}', "[" * 100_000)
    with pytest.raises(ini.InvalidFileError, match="is no JSON object"):
        node.parse(text, "node.ini")
