Feature: A large configuration over slow links keeps nothing else waiting
  Entry hosts have links of 5 Mbit/s. Operators add thousands of routes at once.

  # Guards against DRAIN: copies of a large configuration held up the list of upstreams.
  Scenario: Hosts on slow links get a large configuration and the list in time
    Given a group whose 4 entry hosts have slow links, with 2840 routes
    When two configurations of 4240 routes are accepted and an upstream leaves
    Then each entry host has the new configuration within 2000 ms
    And each entry host knows that the upstream leaves within 2000 ms
    And no entry host loses its leader
    And at most 600 kB ever wait for one host

  # Guards against DRAIN: copies of one version were sent while the first was on its way.
  Scenario: Hosts of an older build on slow links get a large configuration once
    Given a group whose 4 entry hosts have slow links and an older build, with 1440 routes
    When a configuration of 2840 routes is accepted
    Then each entry host has the new configuration within 2000 ms
    And the configuration has been sent to each host only once, uncompressed

  Scenario Outline: A compressed configuration that is <fault> is left out
    Given an entry host with a configuration
    When it gets a newer one that is <fault>, and then a sound one
    Then it logs the fault and takes the sound one

    Examples:
      | fault    |
      | damaged  |
      | cut off  |
      | too long |
