Feature: The replicated configuration is checked as a whole
  A proposed configuration is either parsed in full or refused with all faults.

  Scenario: A valid configuration is parsed
    When a configuration with an engine, a service and an account is checked
    Then the fleet has 2 upstreams, 1 account and 1 service at version 7

  Scenario: All faults of a configuration are named together
    When a configuration with an invalid address, an unknown key and an unknown service is checked
    Then the configuration fault "[upstream engine-1] address = 'engine-1:80'" is named
    And the configuration fault "[upstream engine-1] colour = 'blue'" is named
    And the configuration fault "[upstream payout-1] service = 'payouts'" is named

  Scenario: Every parameter of the policy can be set and has the core's default
    When the parameters of the policy are compared with the core's
    Then they have the same names and defaults

  Scenario: Any text gives a configuration or a list of faults
    When any text is checked as a configuration
    Then each text gave a fleet or a list of faults
