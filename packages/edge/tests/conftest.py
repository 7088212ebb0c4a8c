"""Makes the fakes of this folder importable under importlib mode."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
