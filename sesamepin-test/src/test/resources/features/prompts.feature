Feature: A prompt does not end one engine after the other
  Background:
    Given a fleet of three nodes

  Scenario: Engines that end under one prompt get it no more
    When every engine dies of the word "poison"
    And 30 callers ask for "a poison", one each 400 ms
    Then the engines have ended at most 8 times

  Scenario: A node that starts later knows the prompt
    When every engine dies of the word "poison"
    And 6 callers ask for "a poison", one each 400 ms
    And node 2 is stopped as planned
    And node 2 is started again
    And 1 callers ask for "a poison", one each 400 ms
    Then the engines have ended at most 8 times
    When a caller asks node 2 for "a poison"
    Then the answer is problem "prompt-quarantined" with execution "not-run"

  @known-red
  Scenario: A call that ended engines is not told that it did not run
    When every engine dies of the word "poison"
    And a caller asks node 0 for "a poison"
    Then the answer is problem "no-target" with execution "unknown"

  Scenario: Chats that share the first message with a bad one are served
    When every engine dies of the word "poison"
    And 10 callers chat "You are a desk." and "a poison", one each 300 ms
    And 1 callers chat "You are a desk." and "a word", one each 300 ms
    Then all of them are answered
    When 20 callers chat "You are a desk." and "another word", one each 50 ms
    Then all of them are answered
    And the engines have ended at most 8 times
