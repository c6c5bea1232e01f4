import {type Node} from '../node/node.js';
import {type Summary} from './message.js';

function storeReport(node: Node, member: string, report: {sequence: number; revision: number; reportedAt: number; contactAgeMs: number}): void {
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
 * relays. The echo of the node's own summary dates it: it was sent after the sender had received the echoed summary,
 * so a message that was late, or waited during a pause of the process, cannot make old reports look recent.
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
	storeReport(node, member, {
		sequence, revision, reportedAt: sentAt, contactAgeMs: Number.isFinite(sentAt) ? storeContactAgeMs : 0,
	});
	for (const [id, digestSequence, digestRevision, ageMs, contactAgeMs] of relayed) {
		storeReport(node, id, {
			sequence: digestSequence,
			revision: digestRevision,
			reportedAt: sentAt - ageMs,
			contactAgeMs: Number.isFinite(sentAt) ? (contactAgeMs < 0 ? Number.POSITIVE_INFINITY : contactAgeMs) : 0,
		});
	}
}
