Feature: A booking runs at most once
  Background:
    Given a fleet of three nodes

  Scenario: The answer of a booking is lost and the caller sends it again
    When the service will "drop-after" the next 1 calls
    And a caller books with key "b7" through node 0
    Then the answer is problem "target-failed" with execution "unknown"
    When a caller books with key "b7" through node 1
    Then the answer is problem "in-doubt" with execution "unknown"
    When a caller books with key "b7" through node 2
    Then the answer is problem "in-doubt" with execution "unknown"
    And the service ran 1 calls

  Scenario: A silent service does not get a booking twice
    When the service will "silent" the next 1 calls
    And a caller books with key "b8" through node 0
    Then the answer is problem "target-failed" with execution "unknown"
    And the service ran 1 calls

  Scenario: A service that answers without end does not get a booking twice, and the node lives on
    When the service will "endless" the next 1 calls
    And a caller books with key "b6" through node 0
    Then the answer is problem "target-failed" with execution "unknown"
    And the service ran 1 calls
    When a caller streams 3 tokens through node 0
    Then the stream is whole with 3 tokens

  Scenario: Without the store a booking with a key is refused and does not run
    When the store is "outage"
    And a caller books with key "b9" through node 0
    Then the answer is problem "store-unavailable" with execution "not-run"
    And the service ran 0 calls
    When the store is "none"
    And a caller books with key "b9" through node 1 until it is not in doubt
    Then the answer has status 200
    And the service ran 1 calls

  Scenario: The caller leaves before the answer and asks again
    When a caller books with key "b5" through node 0 and leaves before the answer
    And a caller books with key "b5" through node 1 until it is not in doubt
    Then the answer has status 200
    And the service ran 1 calls
