/**
 * The library: the coordination parts that others may embed. typings/cumincrank.d.ts is its documented API;
 * Library.test.ts checks that the two agree.
 */
export { ManualClock, systemClock } from "./common/Clock";
export { codes, findCode } from "./common/Codes";
export { PeerConnection } from "./connection/PeerConnection";
export { AdmissionLimit } from "./process/AdmissionLimit";
export { ConfigurationReplica } from "./process/ConfigurationReplica";
export { FairQueue } from "./process/FairQueue";
export { Ledger } from "./process/Ledger";
export { Membership } from "./process/Membership";
export { RetryBudget } from "./process/RetryBudget";
export { UpstreamChoice } from "./process/UpstreamChoice";
