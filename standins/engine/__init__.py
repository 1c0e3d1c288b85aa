"""Simulated model engine: continuous batching, prefix cache and operator orders."""

from standins.engine._core import EngineCore, Sequence, StepResult
from standins.engine._server import EngineServer

__all__ = ["EngineCore", "EngineServer", "Sequence", "StepResult"]
