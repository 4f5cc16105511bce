Feature: Hosts only hear peers that are who they say
  Frames travel over mutual TLS. The sender of a frame must be a host of the settings
  and must be named by the certificate of the connection.

  Scenario Outline: A frame of a host that <claim>
    Given a host "a" that knows the peers "b" and "c", with TLS <tls>
    When a process with the certificate of "<owner>" sends it a frame as "<sender>"
    Then the frame is <fate>

    Examples:
      | claim                               | tls | owner | sender | fate    |
      | is a peer                           | on  | b     | b      | heard   |
      | takes the name of another           | on  | b     | c      | dropped |
      | the settings do not know            | on  | d     | d      | dropped |
      | is a peer, without TLS              | off | b     | b      | heard   |
      | the settings do not know, no TLS    | off | d     | d      | dropped |
