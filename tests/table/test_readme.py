"""Guards against outdated examples, commands and links in the README."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

from skylarkcart.table.main import main

ROOT = Path(__file__).parents[2]
README = (ROOT / "README.md").read_text()


def test_example_shows_the_actual_output(capsys):
    assert (
        main(["skylarkcart-table", "explain", str(ROOT / "deployments/empresa")]) == 0
    )
    output = "".join(f"    {line}\n" for line in capsys.readouterr().out.splitlines())
    assert f"    $ skylarkcart-table explain deployments/empresa\n{output}\n" in README


def test_every_command_has_a_table_row():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    documented = re.findall(
        r"^\| `(skylarkcart-[\w-]+)` \|", README, flags=re.MULTILINE
    )
    assert sorted(documented) == sorted(project["scripts"])


def test_every_linked_page_exists():
    links = re.findall(r"\]\(([^):]+)\)", README)
    assert links and all((ROOT / link).is_file() for link in links)
