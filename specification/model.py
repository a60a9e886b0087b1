"""What a specification consists of: variables, actions, invariants.

A specification is a transition system over bits and small numbers, so that z3
decides every question about it up to a depth. Whatever may happen is an
action; nothing else ever changes a variable.
"""

from abc import ABC, abstractmethod

import z3
from attrs import field, frozen

__all__ = ["Action", "Specification", "State", "Variable"]


@frozen
class Variable:
    """A variable of the state.

    Parameters
    ----------
    bits : int
        Width of a number, one more than its values need; 0 for a truth value.
    count : int
        Number of copies, as one for each host; 0 for a single one.
    """

    bits = field(default=0)
    count = field(default=0)

    def make(self, name):
        """Return the z3 constant, or a list of them."""
        if self.count:
            return [Variable(self.bits).make(f"{name}.{i}") for i in range(self.count)]
        return z3.BitVec(name, self.bits) if self.bits else z3.Bool(name)


@frozen
class Action:
    """Something that may happen.

    Parameters
    ----------
    name : str
    guard : z3.BoolRef
        When it may happen.
    updates : dict
        New value by variable name, or by ``(name, index)``; all else stays.
    """

    name = field()
    guard = field()
    updates = field()


class State:
    """All variables at one step, as attributes.

    Parameters
    ----------
    variables : dict of str to Variable
    step : int or str
        Suffix that tells the constants of one step from those of another.
    """

    def __init__(self, variables, step):
        self._names = tuple(variables)
        for name, variable in variables.items():
            setattr(self, name, variable.make(f"{name}@{step}"))

    def iterate(self):
        """Yield ``(key, constant)``, with the keys that updates use."""
        for name in self._names:
            value = getattr(self, name)
            if isinstance(value, list):
                yield from (((name, i), one) for i, one in enumerate(value))
            else:
                yield name, value

    def substitute(self, expression, values):
        """Return `expression` with this state's constants replaced."""
        return z3.substitute(expression, *((c, values[k]) for k, c in self.iterate()))


class Specification(ABC):
    """A protocol.

    Parameters
    ----------
    mutation : str, optional
        One of `mutations`: a planted mistake that the checks must catch.

    Attributes
    ----------
    variables : dict of str to Variable
    mutations : tuple of str
    depth : int
        Steps to which the checks are exhaustive.
    fair_schedule : tuple of str
        Names of actions; see `check_response`.
    """

    variables = {}
    mutations = ()
    depth = 0
    fair_schedule = ()

    def __init__(self, mutation=""):
        if mutation and mutation not in self.mutations:
            raise ValueError(f"no such mutation: {mutation}")
        self.mutation = mutation

    def unless(self, mutation, condition):
        """Return `condition`, or nothing where `mutation` leaves it out."""
        return z3.BoolVal(True) if self.mutation == mutation else condition

    @abstractmethod
    def start(self, s):
        """Return the condition of a first state."""

    @abstractmethod
    def list_actions(self, s):
        """Return every `Action` that may happen in state `s`."""

    @abstractmethod
    def list_invariants(self, s):
        """Return ``{name: condition}`` that hold in every reachable state."""

    def list_lemmas(self, s):
        """Return further invariants that make the induction go through."""
        return {}

    def goal(self, s):
        """Return what a fair schedule must bring about."""
        return z3.BoolVal(True)
