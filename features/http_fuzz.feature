Feature: Arbitrary bytes on a connection break neither the server nor the client
  Hypothesis generates arbitrary and mutated bytes, in chunks of any size.

  Scenario: For any bytes from callers the server answers or closes cleanly
    Given a server whose handler repeats the body
    When callers send any bytes in chunks of any size and then close
    Then each answer is valid, no connection is left and a good request is served

  Scenario: For any bytes from an upstream the client returns an answer or an error
    Given an upstream that answers with any bytes
    When each answer is read
    Then each call ended with an answer or an UpstreamError, and no connection is left
