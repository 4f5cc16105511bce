"""Loader of the tool that generates pages from the code."""

import importlib.util
import sys
from pathlib import Path

TOOL = Path(__file__).resolve().parents[2] / "tools" / "generate_docs.py"


def load_generator():
    spec = importlib.util.spec_from_file_location("generate_docs", TOOL)
    module = importlib.util.module_from_spec(spec)
    sys.modules["generate_docs"] = module
    spec.loader.exec_module(module)
    return module
