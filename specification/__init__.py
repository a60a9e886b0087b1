"""Specifications of the core protocols, checked by z3 to stated bounds."""

from .batch import BatchSpecification
from .checker import Violation, check_induction, check_response, find_violation
from .configuration import ConfigurationSpecification
from .limits import LimitsSpecification
from .model import Action, Specification, State, Variable

__all__ = [
    "Action",
    "BatchSpecification",
    "ConfigurationSpecification",
    "LimitsSpecification",
    "Specification",
    "State",
    "Variable",
    "Violation",
    "check_induction",
    "check_response",
    "find_violation",
]
