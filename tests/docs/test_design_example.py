"""Checks that the code examples of the design page still run."""

from __future__ import annotations

import pathlib
import re

DESIGN_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "design.md"


def test_design_page_examples_run():
    examples = re.findall(r"```python\n(.*?)```", DESIGN_PAGE.read_text(), re.DOTALL)
    assert examples
    for example in examples:
        exec(compile(example, str(DESIGN_PAGE), "exec"), {})
