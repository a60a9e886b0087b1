Feature: TLS towards callers and between hosts
  Certificates come from files that are read again when they change.

  Scenario: Callers speak TLS, and a new certificate needs no restart
    Given a host with TLS on its callers' port
    Then a caller that trusts the authority streams a chat by TLS
    And a caller that does not trust it, and one without TLS, get nothing
    And a job command lists jobs by TLS
    When the callers' certificate is replaced while a connection is kept
    Then new connections see the new certificate and the kept one goes on
    When the certificate's file is spoilt
    Then new connections still see the last good certificate

  Scenario: Hosts speak mutual TLS
    Given two hosts with mutual TLS between them
    Then the two hosts know each other by TLS
    And a peer without a certificate, and one of another authority, get nothing
    When the hosts' certificates are replaced
    Then a third host joins the two by TLS
