Feature: A prompt does not end one engine after the other
  Background:
    Given a fleet of three nodes

  @known-red
  Scenario: Engines that end under one prompt get it no more
    When every engine dies of the word "poison"
    And 30 callers ask for "a poison", one each 400 ms
    Then the engines have ended at most 8 times
