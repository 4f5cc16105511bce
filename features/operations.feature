Feature: The procedures of the operators' guide work
  Real processes and the real command line run the steps of the guide.

  Scenario: Hosts, operators and callers use TLS on every connection
    Given a deployment with TLS and one engine, configured by the command line
    When a caller asks for a completion over TLS
    Then the caller's answer is complete
    And no admin or callers' address answers without TLS
    And a peer without a certificate gets no answer

  Scenario: A control host that lost its disk becomes a voter again without an operator
    Given a deployment without TLS, configured by the command line
    When a follower of the control group loses its data folder and is restarted
    Then it becomes a voter with a new incarnation
    And an operator's change is accepted and in force everywhere

  Scenario: A rolling restart of the control group loses no accepted change
    Given a deployment without TLS, configured by the command line
    When the control hosts are restarted one by one, with a change after each
    Then every change is in force everywhere and in the history in order

  Scenario: An upstream that is drained is shown as leaving
    Given a deployment without TLS, configured by the command line
    When the operator drains engine-1 of the deployment
    Then the upstreams of the deployment show engine-1 as leaving

  Scenario: Requests are counted in the metrics and found in the logs of the hosts
    Given a deployment without TLS, configured by the command line
    When 3 completions are answered, one under a key and one streamed, and one is refused
    Then the metrics of entry-1 show 3 good answers, 3 dispatches and 1 refusal
    And they show 1 granted claim, 3 waits for a slot and 1 for a first token
    And they show 3 live control hosts and the configuration version in force
    And each request id of an answer is found in the log of entry-1

  Scenario: A link between hosts stops even if cancellations are lost
    Given a link to a peer whose task ignores the first 3 cancellations
    When the link is stopped
    Then the link has stopped within 2 s
