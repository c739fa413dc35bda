Feature: Every accepted item completes exactly once
  Background:
    Given a fleet of three nodes

  Scenario Outline: The host of node <node> is lost while a job runs
    When a customer submits a job of 150 items of 20 tokens through node <node>
    And the host of node <node> is lost
    And the customer sends the same job again through node 2
    Then the job ends as "completed" with 150 results and 0 errors through node 2
    Examples:
      | node |
      | 0    |
      | 1    |

  Scenario: The store goes away while a job runs
    When a customer submits a job of 150 items of 20 tokens through node 0
    And 10 of its items are complete
    And the store is "outage"
    And 6 seconds pass
    And the store is "none"
    Then the job ends as "completed" with 150 results and 0 errors through node 1

  Scenario: Writes take effect and their answers are lost
    When a customer submits a job of 60 items of 10 tokens through node 0
    And the store is "lost-answers"
    And the store is "lost-answers"
    Then the job ends as "completed" with 60 results and 0 errors through node 1

  Scenario: Engines die with items in flight
    When a customer submits a job of 100 items of 40 tokens through node 0
    And 10 of its items are complete
    And engine 0 is "die"
    And engine 1 is "silent"
    And 1 seconds pass
    And engine 0 is "none"
    Then the job ends as "completed" with 100 results and 0 errors through node 1

  Scenario: A poisonous item fails alone
    When every engine dies of the word "sheet 7!"
    And a customer submits a job of 30 items of 4 tokens through node 0
    Then the job ends as "completed" with 29 results and 1 errors through node 1

  Scenario: A cancelled job stops
    When a customer submits a job of 2000 items of 20 tokens through node 0
    And 10 of its items are complete
    And the customer cancels it through node 1
    Then no item of it starts after the answer
    And the job ends as "cancelled" through node 2

  Scenario: Online requests do not wait behind batch work
    When a customer submits a job of 400 items of 200 tokens through node 0
    And 2 of its items are complete
    And a caller streams 5 tokens through node 1
    Then the stream is whole with 5 tokens
    When 8 callers begin to stream 20 tokens through node 2
    Then all of them get the whole 20 tokens
    When the customer cancels it through node 1
    Then the job ends as "cancelled" through node 2
