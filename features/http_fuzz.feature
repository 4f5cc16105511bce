Feature: No bytes from outside upset the server or the client
  Hypothesis sends arbitrary and mutated bytes, in any pieces.

  Scenario: Whatever callers send, the server answers or closes cleanly
    Given a server whose handler repeats the body
    When callers send any bytes in any pieces and then close
    Then each answer parses, nothing is left behind and a good request is served

  Scenario: Whatever upstreams answer, the client ends with a true result
    Given an upstream that answers with any bytes
    When each answer is read
    Then each call ended whole or with one of our errors, and nothing is left
