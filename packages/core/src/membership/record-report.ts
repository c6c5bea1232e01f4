import {type Node} from '../node/node.js';
import {type Summary} from './message.js';

function replaceOlderReport(node: Node, member: string, report: {sequence: number; revision: number; reportedAt: number; contactAgeMs: number}): void {
	const {reports, records} = node.membership;
	const known = reports.get(member);
	const {sequence, revision, reportedAt, contactAgeMs} = report;
	if (member === node.id || !records.has(member) || (known !== undefined && (known.sequence > sequence || (known.sequence === sequence && known.reportedAt >= reportedAt)))) {
		return;
	}

	reports.set(member, {
		sequence, revision, reportedAt, storeContactAt: reportedAt - contactAgeMs,
	});
}

/**
 * Records the reports in a summary: that of its sender, and those of the members whose digests it
 * relays. The echoed sequence number gives the earliest time at which the sender can have sent the summary:
 * `heldMs` after this node sent the echoed one. A message that was late, or waited during a pause of the process, therefore
 * cannot make old reports look recent. Without an echo of a recent summary the time is unknown (negative infinity).
 *
 * @param node - the node, updated in place
 * @param summary - the summary
 * @example
 * recordReport(node, summary);
 */
export function recordReport(node: Node, summary: Summary): void {
	const {echo, relayed = [], member, sequence, revision, storeContactAgeMs = Number.POSITIVE_INFINITY} = summary;
	const echoedAt = echo === undefined ? undefined : node.membership.sentAtBySequence.get(echo.sequence);
	const sentAt = echo === undefined || echoedAt === undefined ? Number.NEGATIVE_INFINITY : echoedAt + echo.heldMs;
	replaceOlderReport(node, member, {
		sequence, revision, reportedAt: sentAt, contactAgeMs: Number.isFinite(sentAt) ? storeContactAgeMs : 0,
	});
	for (const [id, digestSequence, digestRevision, ageMs, contactAgeMs] of relayed) {
		replaceOlderReport(node, id, {
			sequence: digestSequence,
			revision: digestRevision,
			reportedAt: sentAt - ageMs,
			contactAgeMs: Number.isFinite(sentAt) ? (contactAgeMs < 0 ? Number.POSITIVE_INFINITY : contactAgeMs) : 0,
		});
	}
}
