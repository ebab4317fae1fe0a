/**
 * The library: the coordination parts that others may embed. typings/cumincrank.d.ts is its documented API;
 * Library.test.ts checks that the two agree.
 */
export { ManualClock, systemClock } from "./common/Clock";
export { codes, findCode } from "./common/Codes";
export { PeerConnection } from "./connection/PeerConnection";
export { AdmissionLimit } from "./process/admission/AdmissionLimit";
export { FairQueue } from "./process/admission/FairQueue";
export { RetryBudget } from "./process/admission/RetryBudget";
export { UpstreamChoice } from "./process/choice/UpstreamChoice";
export { ConfigurationReplica } from "./process/configuration/ConfigurationReplica";
export { Ledger } from "./process/keys/Ledger";
export { Membership } from "./process/membership/Membership";
