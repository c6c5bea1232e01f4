import {readdirSync, readFileSync} from 'node:fs';

const kilobyte = 1024;

/**
 * Reads what a process has used.
 *
 * @param pid - identifier of the process
 * @returns the largest resident set since its start in bytes and its open descriptors; undefined if it does not run
 * @example
 * readProcessUsage(process.pid)?.peakBytes;
 */
export function readProcessUsage(pid: number): {readonly peakBytes: number; readonly descriptors: number} | undefined {
	try {
		const peak = /^VmHWM:\s+(?<size>\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.size;
		return peak === undefined ? undefined : {peakBytes: Number(peak) * kilobyte, descriptors: readdirSync(`/proc/${pid}/fd`).length};
	} catch {
		return undefined;
	}
}
