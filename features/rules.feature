Feature: The replicated configuration is checked as a whole
  What operators propose is either read in full or refused with every fault.

  Scenario: A good configuration is read
    When a configuration with an engine, a service and an account is checked
    Then the fleet has 2 upstreams, 1 account and 1 service at version 7

  Scenario: Every fault of a configuration is named at once
    When a configuration with a bad address, an unknown key and an unknown service is checked
    Then the configuration fault "[upstream engine-1] address = 'engine-1:80'" is named
    And the configuration fault "[upstream engine-1] colour = 'blue'" is named
    And the configuration fault "[upstream payout-1] service = 'payouts'" is named

  Scenario: Every knob of the policy can be set and has one default
    When the knobs of the policy are compared with the core's
    Then they have the same names and defaults

  Scenario: Any text is a configuration or a list of faults
    When any text is checked as a configuration
    Then each text gave a fleet or a list of faults
