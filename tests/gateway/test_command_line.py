"""Without arguments, a process loads no module for them."""

from __future__ import annotations

import subprocess
import sys

import pytest

from skylarkcart.errors import InvalidValueError
from skylarkcart.gateway._command_line import parse_command_line

PROGRAM = "skylarkcart-gateway"


def test_process_without_arguments_loads_no_flag_parser():
    # Memory of each process: an import at the top of some module brings it back.
    code = "import sys, skylarkcart.gateway.main; sys.exit('absl' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_flags_name_the_settings_file_and_the_check():
    parsed = parse_command_line([PROGRAM, "--settings", "node.toml", "--check"])
    assert parsed.settings_path == "node.toml"
    assert parsed.only_checks
    assert not parsed.spreads_calls


def test_choice_by_draws_is_switched_on_by_a_flag():
    assert parse_command_line([PROGRAM, "--spread-calls"]).spreads_calls


@pytest.mark.parametrize("word", ["--unknown", "node.toml"])
def test_unknown_words_are_rejected(word):
    with pytest.raises(InvalidValueError):
        parse_command_line([PROGRAM, word])
