Feature: Callers that keep to no limits end no process
  Each scenario runs the real programs. Callers send much and read nothing, and open new
  connections when theirs are closed. The bounds were chosen by the faults of the code
  before its limits, which each scenario showed.

  Scenario Outline: A host outlasts callers that keep to no limits: <crowd>
    Given programs with lowered limits before uncontrolled callers "<crowd>"
    When these callers have sent their bytes, or can send no more
    Then the host still runs, and one ordinary request is answered
    And its memory and its open descriptors stayed within their bounds

    Examples: Crowds
      | crowd                          |
      | requests without header fields |
      | requests on few connections    |
      | readiness checks               |
      | metrics                        |
      | pipelined bodies               |
      | incomplete bodies              |
      | slow headers                   |
      | connections without a request  |
      | unread large answers           |
      | incomplete configurations      |
