/** Settings of deployments, from their site files: controllers' zones, the table `cluster`, teams and machine types. */

const teamsOf = (name, count, cpus, cpus_max) =>
	Array.from({ length: count }, (_, i) => ({ name: `${name}-${String(i).padStart(2, "0")}`, cpus, cpus_max }));

export const pasatiemposNorte = {
	nodes: ["pamplona", "gijon", "pamplona", "gijon", "pamplona"],
	cluster: {
		zones: ["donostia", "gijon", "pamplona", "torrelavega"],
		clock_off_ms: 5.0,
		workers: { report_s: 2.0, lease_s: 16.0, gang_wait_s: 40.0, gang_peer_s: 8.0, cancel_s: 41.0 },
		state: { rps: 80.0, write_rps: 30.0, value_kb: 16.0, txn_ops: 24 },
		cloud: { rps: 4.0, list_lag_s: 3.0 },
		resources: { cores: 0.085, ram_mb: 146.0, fd_limit: 700 },
	},
	teams: teamsOf("navarra", 16, 250, 700),
	shapes: [
		{ sku: "tablero", cores: 16, accelerators: 0, ram_gb: 64, local_gb: 60, fetch_gb_per_s: 0.6, rate: 1.1, market_price: 0.43, boot_s: 15, halls: ["donostia", "gijon", "pamplona", "torrelavega"] },
		{ sku: "imprenta", cores: 64, accelerators: 0, ram_gb: 256, local_gb: 70, fetch_gb_per_s: 0.25, rate: 4.75, market_price: 2.13, boot_s: 50, halls: ["donostia", "pamplona"] },
	],
};

export const crucigramaNorte = {
	nodes: ["oviedo", "santander", "bilbao"],
	cluster: {
		zones: ["bilbao", "oviedo", "santander"],
		clock_off_ms: 1000.0,
		workers: { report_s: 1.5, lease_s: 12.0, gang_wait_s: 45.0, gang_peer_s: 4.0, cancel_s: 37.0 },
		state: { rps: 200.0, write_rps: 25.0, value_kb: 16.0, txn_ops: 12 },
		cloud: { rps: 3.0, list_lag_s: 6.0 },
		resources: { cores: 0.17, ram_mb: 146.0, fd_limit: 1000 },
	},
	teams: teamsOf("definiciones", 16, 16, 24),
	shapes: [
		{ sku: "casilla", cores: 4, accelerators: 0, ram_gb: 32, local_gb: 35, fetch_gb_per_s: 0.25, rate: 0.2, market_price: 0.05, boot_s: 30, halls: ["bilbao", "oviedo", "santander"] },
		{ sku: "pliego", cores: 32, accelerators: 0, ram_gb: 128, local_gb: 70, fetch_gb_per_s: 0.4, rate: 1.43, market_price: 0.37, boot_s: 35, halls: ["bilbao", "santander"] },
		{ sku: "rotativa", cores: 64, accelerators: 0, ram_gb: 256, local_gb: 60, fetch_gb_per_s: 0.4, rate: 2.67, market_price: 0.64, boot_s: 35, halls: ["oviedo", "santander"] },
	],
};

export const annaBhandarFleet = {
	nodes: ["ahmedabad", "rajkot", "surat"],
	cluster: {
		zones: ["ahmedabad", "rajkot", "surat", "vadodara"],
		clock_off_ms: 25.0,
		workers: { report_s: 3.0, lease_s: 17.0, gang_wait_s: 30.0, gang_peer_s: 8.0, cancel_s: 37.0 },
		state: { rps: 120.0, write_rps: 30.0, value_kb: 16.0, txn_ops: 12 },
		cloud: { rps: 2.0, list_lag_s: 4.0 },
		resources: { cores: 0.136, ram_mb: 190.0, fd_limit: 1434 },
	},
	teams: teamsOf("stock-cell", 10, 350, 1500),
	shapes: [
		{ sku: "thali", cores: 4, accelerators: 0, ram_gb: 8, local_gb: 80, fetch_gb_per_s: 0.2, rate: 0.26, market_price: 0.1, boot_s: 50, halls: ["ahmedabad", "rajkot", "surat", "vadodara"] },
		{ sku: "tiffin", cores: 8, accelerators: 0, ram_gb: 32, local_gb: 60, fetch_gb_per_s: 0.5, rate: 0.55, market_price: 0.19, boot_s: 50, halls: ["ahmedabad", "rajkot", "surat", "vadodara"] },
		{ sku: "godown", cores: 64, accelerators: 0, ram_gb: 128, local_gb: 60, fetch_gb_per_s: 0.4, rate: 4.41, market_price: 1.56, boot_s: 20, halls: ["ahmedabad", "rajkot", "surat", "vadodara"] },
	],
};

export const crucigramaNorteFleet = {
	nodes: ["oviedo", "santander", "bilbao", "oviedo", "santander"],
	cluster: {
		...crucigramaNorte.cluster,
		workers: { report_s: 2.5, lease_s: 15.25, gang_wait_s: 45.0, gang_peer_s: 4.0, cancel_s: 40.25 },
		state: { rps: 350.0, write_rps: 40.0, value_kb: 16.0, txn_ops: 12 },
		cloud: { rps: 4.0, list_lag_s: 6.0 },
		resources: { cores: 0.255, ram_mb: 210.0, fd_limit: 1518 },
	},
	teams: teamsOf("definiciones", 16, 300, 800),
	shapes: crucigramaNorte.shapes,
};
