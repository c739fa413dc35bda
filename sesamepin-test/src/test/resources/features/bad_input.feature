Feature: Bad input gets a clear problem and the node lives on
  Scenario: Each kind of bad input
    Given a fleet of three nodes
    When a caller posts 300000 bytes to "/v1/completions"
    Then the answer is problem "too-large" with execution "not-run"
    When a caller posts the body "{broken" to "/v1/completions"
    Then the answer is problem "malformed-request" with execution "not-run"
    When a caller posts the body "[]" to "/v1/completions"
    Then the answer is problem "malformed-request" with execution "not-run"
    When a caller posts the body "{'model':'none'}" to "/v1/completions"
    Then the answer is problem "malformed-request" with execution "not-run"
    When a caller posts the body "{\"model\":\"none\"}" to "/v1/completions"
    Then the answer is problem "unknown-model" with execution "not-run"
    When a caller posts the body "{}" to "/nowhere"
    Then the answer is problem "not-found" with execution "not-run"
    When a caller posts the body "{}" to "/catalogue/mules"
    Then the answer is problem "method-refused" with execution "not-run"
    When a caller posts the body "{}" to "/v1/batches"
    Then the answer is problem "malformed-request" with execution "not-run"
    When a caller uploads the line "{broken" behind 3 good ones
    Then the answer is problem "malformed-request" with execution "not-run"
    And the answer names "line 4"
    When a caller uploads the line "{\"custom_id\":\"sheet-0\"}" behind 2 good ones
    Then the answer names "line 3"
    When a caller sends "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n" to node 0
    Then the node answers with status 400
    When a caller sends "GET / HTTP/1.1\r\nHost: x\r\nMANY\r\n\r\n" to node 0
    Then the node answers with status 400
    When a caller sends "POST /bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer KEY\r\nContent-Length: 50\r\n\r\nslow" to node 0
    Then the node answers with status 408
    When a caller streams 3 tokens through node 0
    Then the stream is whole with 3 tokens
