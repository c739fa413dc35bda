Feature: Each caller gets the whole answer to its own request
  Background:
    Given a fleet of three nodes

  Scenario Outline: Engines are <fault> with streams in flight
    When 6 callers begin to stream 100 tokens through node 1
    And all of them have begun
    And engine 0 is "<fault>"
    And engine 1 is "<fault>"
    Then all of them get the whole 100 tokens
    Examples:
      | fault  |
      | die    |
      | silent |

  # The answer of an engine that cannot continue a stream must not appear within it.
  Scenario Outline: The engine that is to continue a stream answers it with <fault>
    When 6 callers begin to stream 100 tokens through node 1
    And all of them have begun
    And engine 2 is "<fault>"
    And engine 0 is "die"
    And engine 1 is "die"
    Then each of them gets the whole 100 tokens, or a part in order and an error event
    Examples:
      | fault     |
      | no-resume |
      | restart   |

  Scenario: An answer that belongs to another request is discarded
    When every engine is "crossed"
    And a caller streams 10 tokens through node 0
    Then the answer is problem "no-target" with execution "unknown"
    And the engines have started 3 requests
    When a caller streams 10 tokens through node 1
    Then the stream is whole with 10 tokens

  Scenario: A planned stop cuts no request
    When 6 callers begin to stream 200 tokens through node 2
    And all of them have begun
    And node 2 is stopped as planned
    Then all of them get the whole 200 tokens

  Scenario: A rolling restart of all nodes under load cuts no request and loses no item
    When a customer submits a job of 300 items of 20 tokens through node 0
    And 4 callers begin to stream 200 tokens through node 0
    And all of them have begun
    And node 0 is stopped as planned
    And node 0 is started again
    And 4 callers begin to stream 200 tokens through node 1
    And node 1 is stopped as planned
    And node 1 is started again
    And 4 callers begin to stream 200 tokens through node 2
    And node 2 is stopped as planned
    And node 2 is started again
    Then all of them get the whole 200 tokens
    And the job ends as "completed" with 300 results and 0 errors through node 1
