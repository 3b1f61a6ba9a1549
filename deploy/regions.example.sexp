; The regions among which every team's limit is divided. Copy it to deploy/regions.sexp, the same file
; for all controllers of all regions, and start them with --regions deploy/regions.sexp (the `run` line
; of service.toml, before --config). docs/operations.md, "Several regions", has the order of steps.
;
; share: of every limit and guarantee, relative to the other regions' shares; fixed with the first record.
; zones: a controller belongs to the region that lists its zone (`location` in its settings).
; controller: its name, and the address on which it listens for controllers of other regions. Private
;   network only.
(regions
  (region colombo (share 2) (zones colombo-north colombo-south)
    (controller quay-0 "10.0.0.1:8082")
    (controller quay-1 "10.0.0.2:8082"))
  (region galle (share 1) (zones galle-fort)
    (controller pier-0 "10.4.0.1:8082")))
