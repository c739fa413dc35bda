Feature: Keys
  Background:
    Given a fleet of three nodes

  Scenario: A withdrawn key stops, also for callers that are connected
    When 3 callers begin to stream 2000 tokens through node 1
    And all of them have begun
    And the operators withdraw the key
    Then every node refuses the key
    And all of them end without their whole answer

  Scenario: No target sees a key in any form
    When a caller puts its key into the query
    Then the answer is problem "key-misplaced" with execution "not-run"
    When a caller puts its key into the body
    Then the answer is problem "key-misplaced" with execution "not-run"
    When a caller sends its key in further headers
    Then the node answers with status 200
    And the service ran 1 calls
    And no target has seen a key
