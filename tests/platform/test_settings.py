"""Reading of the platform's settings file."""

from __future__ import annotations

import pytest

from burdockgap.cli.exit_code import ExitCode
from burdockgap.platform.settings import SETTINGS_VARIABLE, read_settings
from burdockgap.run import main
from standins.sidecar.settings_file import make_settings_text

SETTINGS_TEXT = make_settings_text()


def write_settings(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return path


def test_settings_are_read(tmp_path):
    cfg = read_settings(write_settings(tmp_path, SETTINGS_TEXT))
    assert (cfg.name, cfg.data_centre) == ("sidecar-tanta-1", "tanta")
    assert cfg.callers == ("10.1.0.8", 8304)
    assert cfg.link_bytes_per_s == 125e6
    assert cfg.store == ("10.200.1.7", 8309)
    # (200 MB - 45 MB for the process) / 2.
    assert cfg.buffer_bytes == 77_500_000
    assert (cfg.drain_s, cfg.grace_s, cfg.peer_port) == (2.0, 6.0, 7620)


def test_descriptors_are_those_of_the_machine(tmp_path):
    text = SETTINGS_TEXT.replace(
        "memory-mb = 200", "memory-mb = 60\nfile-descriptors = 4100"
    )
    cfg = read_settings(write_settings(tmp_path, text))
    assert (cfg.buffer_bytes, cfg.descriptors) == (7_500_000, 4100)


@pytest.mark.parametrize(
    ("old", "new", "why"),
    [
        pytest.param(
            "memory-mb = 200",
            'memory-mb = 200\nfile-descriptors = "many"',
            "file-descriptors",
            id="no-count",
        ),
        pytest.param('zone = "tanta"', "", "zone", id="missing"),
        pytest.param('"6s"', '"six"', "six", id="no-time"),
        pytest.param("8304", "port", "outbound|address", id="no-port"),
        pytest.param("[7620,7635]", "[]", "internal-port", id="no-ports"),
        pytest.param("0.2", '"much"', "retry-budget-ratio", id="no-number"),
    ],
)
def test_error_names_the_invalid_setting(tmp_path, old, new, why):
    with pytest.raises(ValueError, match=why):
        read_settings(
            write_settings(tmp_path, SETTINGS_TEXT.replace(old, new, 1))
        )


def test_command_error_names_the_settings_file(tmp_path, capsys, monkeypatch):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert main(["sidecar"]) == ExitCode.BAD_INPUT
    assert SETTINGS_VARIABLE in capsys.readouterr().err
    path = write_settings(tmp_path, "zone = 5")
    assert main(["sidecar", "--settings", str(path)]) == ExitCode.BAD_INPUT
    assert str(path) in capsys.readouterr().err
