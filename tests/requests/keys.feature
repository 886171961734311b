Feature: Keys that a VM mints

  Scenario: A key is good for its own customer only
    Then no altered or foreign key passes for a minted one

  Scenario: Text that is no key is refused
    Then these texts are no minted keys
      | text             |
      | al1.             |
      | al1.a.1.0-5      |
      | al1.a.x.0-5.aa   |
      | al1.a.1.zz.aa    |
      | al1..1.0-5.aa    |
      | order-1          |
