Feature: A version that is just listed is held back until its order arrives
  Coordinators and entry hosts run in virtual time. The platform lists the upstreams of
  version "v2" beside those of "v1".

  Background:
    Given coordinators and entry hosts with rollouts and an upstream of "v1"

  Scenario: A waiting request is not granted at a version that is just listed
    Guards against a scheduler that sees the list before the hold.
    Given all slots are in use and a request of "e1" waits
    When upstreams of "v2" are listed, and 1000 ms pass
    Then no request was granted at "v2"

