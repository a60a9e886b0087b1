Feature: A host that the store turns away finds others that reach it

  Background:
    Given a host that knows the hosts "h1, h2, h3"

  Scenario: It asks those that say that they reach the store
    When it hears "h1, h2", of which "h2" reach the store
    Then it may ask "h2"

  Scenario: It asks nobody while nobody reaches the store
    When it hears "h1, h2", of which "" reach the store
    Then it may ask ""

  Scenario: It was turned away before the others knew of it
    When it hears "", of which "" reach the store
    Then it may ask "h1, h2, h3"
