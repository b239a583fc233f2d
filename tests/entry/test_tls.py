"""TLS of the listener for callers, and reload of replaced certificates."""

from __future__ import annotations

import pathlib
import ssl

import anyio
import httpcore
import openai
import pytest
import trustme
from tests.entry import support

from cactusstile.console import application
from cactusstile.console import exceptions
from cactusstile.fakes import scripted_agent
from cactusstile.observability import tls
from cactusstile.settings import entry as entry_settings

RELOAD_TIMEOUT_S = 10


def _issue_certificate(folder: pathlib.Path) -> ssl.SSLContext:
    """Writes a certificate of a new CA; returns a context trusting only it."""
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(folder / "key.pem")
    chain = folder / "certificate.pem"
    chain.unlink(missing_ok=True)
    for part in issued.cert_chain_pems:
        part.write_to_path(chain, append=True)
    context = ssl.create_default_context()
    authority.configure_trust(context)
    return context


def _options(folder: pathlib.Path) -> dict[str, str]:
    return {
        "tls_certificate": str(folder / "certificate.pem"),
        "tls_key": str(folder / "key.pem"),
    }


def _open_client(
    site: support.Site, tls_context: ssl.SSLContext
) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        api_key="key-of-bank",
        base_url=f"https://{site.entry.callers_address()}/v1",
        max_retries=0,
        http_client=openai.DefaultAsyncHttpxClient(verify=tls_context),
    )


async def _complete(site: support.Site, tls_context: ssl.SSLContext) -> str:
    async with _open_client(site, tls_context) as client:
        answer = await client.completions.create(
            model="chat", prompt="hello", max_tokens=8
        )
    return answer.choices[0].text


@pytest.mark.anyio
async def test_replaced_certificate_is_used_and_cuts_off_no_stream(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tls, "POLL_INTERVAL_S", 0.05)
    old_context = _issue_certificate(tmp_path)
    agent = scripted_agent.ScriptedAgent(batch_interval_s=0.02)
    async with support.open_site([agent], **_options(tmp_path)) as site:
        with pytest.raises(httpcore.RemoteProtocolError):
            await site.complete()
        async with _open_client(site, old_context) as client:
            stream = await client.completions.create(
                model="chat", prompt="hello", max_tokens=60, stream=True
            )
            parts = [(await anext(stream)).choices[0].text]
            new_context = _issue_certificate(tmp_path)
            with anyio.fail_after(RELOAD_TIMEOUT_S):
                await _wait_until_trusted(site, new_context)
            with pytest.raises(openai.APIConnectionError):
                await _complete(site, old_context)
            parts += [part.choices[0].text async for part in stream]
        assert "".join(parts) == support.expected_text(60)
        await _check_drain(site, new_context)


async def _check_drain(site: support.Site, tls_context: ssl.SSLContext) -> None:
    """Checks that a stream completes during a drain, then disconnects."""
    async with (
        anyio.create_task_group() as group,
        _open_client(site, tls_context) as client,
    ):
        stream = await client.completions.create(
            model="chat", prompt="hello", max_tokens=60, stream=True
        )
        group.start_soon(site.entry.drain)
        parts = [part.choices[0].text async for part in stream]
    assert "".join(parts) == support.expected_text(60)


async def _wait_until_trusted(
    site: support.Site, tls_context: ssl.SSLContext
) -> None:
    while True:
        try:
            await _complete(site, tls_context)
        except openai.APIConnectionError:
            await anyio.sleep(0.05)
            continue
        return


def test_invalid_replacement_keeps_the_old_certificate(
    tmp_path: pathlib.Path,
) -> None:
    _issue_certificate(tmp_path)
    outcomes: list[bool] = []
    files = tls.CertificateFiles(
        tmp_path / "certificate.pem", tmp_path / "key.pem"
    )
    certificate = tls.ReloadingCertificate(files, outcomes.append)
    whole = files.key.read_bytes()
    files.key.write_bytes(whole[:100])
    certificate.reload_if_changed()
    certificate.reload_if_changed()
    assert outcomes == [False]
    files.key.unlink()
    certificate.reload_if_changed()
    files.key.write_bytes(whole)
    certificate.reload_if_changed()
    certificate.reload_if_changed()
    assert outcomes == [False, False, True]


@pytest.mark.parametrize(
    ("options", "text"),
    [
        (("tls_certificate",), "write both"),
        (("tls_key",), "write both"),
        (("tls_certificate", "tls_key"), "no PEM certificate"),
    ],
)
def test_check_reports_invalid_certificate(
    options: tuple[str, ...],
    text: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    _issue_certificate(tmp_path)
    key = (tmp_path / "key.pem").read_bytes()
    _issue_certificate(tmp_path)
    (tmp_path / "key.pem").write_bytes(key)
    (tmp_path / "secret").write_text("a-secret-of-the-fleet")
    chosen = _options(tmp_path)
    lines = [f"{name} = {chosen[name]}" for name in options]
    settings = tmp_path / "entry.ini"
    settings.write_text(
        "[process]\nname = entry-1\ndata_centre = ikeja\n"
        "listen = 127.0.0.1:0\ncontrol = 127.0.0.1:1\n"
        f"secret_file = {tmp_path / 'secret'}\n"
        "[entry]\ncallers_listen = 127.0.0.1:0\n" + "\n".join(lines)
    )
    for command in ("check", "entry"):
        code = application.run([command, str(settings)])
        assert code is exceptions.ExitCode.INVALID_FILE
        assert text in capsys.readouterr().err
    _issue_certificate(tmp_path)
    whole = settings.read_text().split("tls_")[0]
    whole += "\n".join(f"{name} = {path}" for name, path in chosen.items())
    settings.write_text(whole)
    assert entry_settings.load(settings).tls_files is not None
